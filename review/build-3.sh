#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/standin-3 .
