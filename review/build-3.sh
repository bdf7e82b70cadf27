#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/. It needs Go alone, and no network.
set -eu
cd "$(dirname "$0")/standin-3"
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../../target/standin-3 .
