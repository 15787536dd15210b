#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../bin/standin .
