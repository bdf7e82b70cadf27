#!/bin/sh
# Builds the stand-ins of the review's scripts.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../bin/standin .
