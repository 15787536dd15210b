#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/platform ] && [ -x target/standin-3 ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 3 118 target/standin-3 -case deadly-part -dir "$dir" -record "${RECORD:-$here/record.txt}" -trouble=$trouble
code=$?
[ $code -le 1 ] || code=2
exit $code
