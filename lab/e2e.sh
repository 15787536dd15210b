#!/usr/bin/env bash
# Runs the end-to-end tests in parallel. Each file in lab/e2e is one test: a script
# that is sourced in a subshell, starts a fleet of separate processes and checks
# its behaviour. Usage: e2e.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh

ENGINE_SETTINGS=("bear = 8" "cold = 2" "ramp = 1s" "warm = true" "prefill = 20us" "token = 10ms"
  "memory = 100000" "lag = 100ms" "down = 400ms" "level = warn")
TOKEN=token-matara

# start_common_fleet: starts three routers in two data centres, four engines and
# two applications, and publishes the sheet deploy/trust.ini with two seats in
# kandy, a ramp of 1 s and an engine capacity of 8.
start_common_fleet() {
  fleet_add_router r1 colombo 1
  fleet_add_router r2 kandy 1
  fleet_add_router r3 kandy 2
  fleet_add_engines psalter-c psalter colombo 2 "${ENGINE_SETTINGS[@]}"
  fleet_add_engines psalter-k psalter kandy 2 "${ENGINE_SETTINGS[@]}"
  fleet_add_service vestry-c vestry colombo
  fleet_add_service vestry-k vestry kandy
  fleet_start
  awk '/^\[/ { in_section = ($0 == "[datacentre kandy]") }
    in_section && /^seats/ { print "seats = 2"; next }
    /^ramp = /  { print "ramp = 1s"; next }
    /^bear = 16/ { print "bear = 8"; next }
    { print }' deploy/trust.ini >"$FLEET_DIR/sheet.ini"
  fleet_publish "$FLEET_DIR/sheet.ini"
}

# post ROUTER PATH BODY [CURL ARGUMENT...]: sends a POST request; prints the
# response body and, on the last line, the status code.
post() {
  local router=$1 path=$2 body=$3
  shift 3
  curl -s -m 20 -w '\n%{http_code}\n' "http://$(fleet_address "$router")$path" -H "Authorization: Bearer $TOKEN" -d "$body" "$@"
}

# chat_body TEXT KEY [FIELDS]: prints a chat request with one message; FIELDS, such
# as ',"stream":true', are added to it.
chat_body() { printf '{"model":"psalm-8b","messages":[{"role":"user","content":"%s"}],"prompt_cache_key":"%s"%s}' "$1" "$2" "${3:-}"; }

# order_runs KEY: prints how often the applications have run the order with an
# idempotency key.
order_runs() { fleet_sum_stat "$1" "${FLEET_SERVICES[@]}"; }

# expect_equal WHAT GOT WANT: fails the test unless GOT is WANT.
# expect_contains WHAT GOT WANT: fails the test unless GOT contains WANT.
expect_equal() { [ "$2" = "$3" ] || fail "$1: got $2, want $3"; }
expect_contains() { case "$2" in *"$3"*) ;; *) fail "$1: got $2, want text containing $3" ;; esac; }
# fail TEXT: prints a failure and marks the test as failed; the test goes on.
fail() {
  echo "FAIL $NAME: $*"
  FAILED=1
}

run_test() {
  NAME=$1
  FAILED=0
  fleet_init "$DIR/$NAME" "$2"
  trap fleet_stop EXIT
  # shellcheck disable=SC1090
  . "lab/e2e/$NAME.sh" || fail "script returned a non-zero status"
  expect_equal "requests above capacity" "$(fleet_violations)" 0
  [ "$FAILED" = 0 ] && echo "ok $NAME"
  return "$FAILED"
}

NAMES=("$@")
[ $# -gt 0 ] || for f in lab/e2e/*.sh; do NAMES+=("$(basename "$f" .sh)"); done
DIR=${E2E_DIR:-run/e2e}
rm -rf "$DIR"
passed=0 failed=0 port=${E2E_PORT:-10000} pids=()
for name in "${NAMES[@]}"; do
  (run_test "$name" "$port") &
  pids+=($!)
  port=$((port + 1000))
done
for pid in "${pids[@]}"; do
  if wait "$pid"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "e2e: $passed passed, $failed failed"
[ "$failed" = 0 ]
