#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. It needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review2 .
