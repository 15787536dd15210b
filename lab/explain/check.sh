#!/usr/bin/env bash
# Checks that explain.sh finds the cause of each failed request in this folder
# from its id alone. NAME.request holds the id of the request, NAME.log the log
# lines of the routers, and NAME.want the cause and certainty that explain.sh must
# print.
set -uo pipefail
cd "$(dirname "$0")"
passed=0 failed=0
for want in *.want; do
  name=${want%.want}
  got=$(bash ../explain.sh "$(cat "$name.request")" "$name.log" | grep -E '^(cause|certainty):')
  if [ "$got" = "$(cat "$want")" ]; then
    echo "ok $name"
    passed=$((passed + 1))
  else
    printf 'FAIL %s: got\n%s\nwant\n%s\n' "$name" "$got" "$(cat "$want")"
    failed=$((failed + 1))
  fi
done
echo "explain: $passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
