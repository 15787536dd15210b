#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/platform ] || [ ! -x review/bin/standin ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec review/bin/standin silence "$PWD" review/5/record.txt
