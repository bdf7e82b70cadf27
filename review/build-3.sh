#!/bin/sh
# Builds the stand-ins of the third review, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
