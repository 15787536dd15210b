#!/usr/bin/env bash
# Runs the end-to-end tests: each file in lab/e2e is a script that is sourced
# with a fleet of separate processes running. Usage: e2e.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh

ENGINE=("bear = 8" "cold = 2" "ramp = 1s" "warm = true" "prefill = 20us" "token = 10ms"
  "memory = 100000" "lag = 100ms" "down = 400ms" "level = warn")
TOKEN=token-matara

# common_fleet: three routers in two data centres, four engines, two
# applications, and the Trust's sheet with a short ramp.
common_fleet() {
  fleet_router r1 colombo 1
  fleet_router r2 kandy 1
  fleet_router r3 kandy 2
  fleet_engines psalter-c psalter colombo 2 "${ENGINE[@]}"
  fleet_engines psalter-k psalter kandy 2 "${ENGINE[@]}"
  fleet_service vestry-c vestry colombo
  fleet_service vestry-k vestry kandy
  fleet_start
  awk '/^\[/ { here = ($0 == "[datacentre kandy]") }
    here && /^seats/ { print "seats = 2"; next }
    /^ramp = /  { print "ramp = 1s"; next }
    /^bear = 16/ { print "bear = 8"; next }
    { print }' deploy/trust.ini >"$FLEET_DIR/sheet.ini"
  fleet_publish "$FLEET_DIR/sheet.ini"
}

# post ROUTER PATH BODY [CURL ARGUMENT...]: prints the status and the body.
post() {
  local router=$1 path=$2 body=$3
  shift 3
  curl -s -m 20 -w '\n%{http_code}\n' "http://$(fleet_address "$router")$path" -H "Authorization: Bearer $TOKEN" -d "$body" "$@"
}

chat_body() { printf '{"model":"psalm-8b","messages":[{"role":"user","content":"%s"}],"prompt_cache_key":"%s"%s}' "$1" "$2" "${3:-}"; }

# runs KEY: how often the applications have run an order.
runs() { fleet_sum "$1" "${FLEET_SERVICES[@]}"; }

# want WHAT GOT WANT, and contains WHAT GOT WANT.
want() { [ "$2" = "$3" ] || fail "$1: got $2, want $3"; }
contains() { case "$2" in *"$3"*) ;; *) fail "$1: got $2, want $3 in it" ;; esac; }
fail() {
  echo "FAIL $NAME: $*"
  FAILED=1
}

run_one() {
  NAME=$1
  FAILED=0
  fleet_begin "$DIR/$NAME" "$2"
  trap fleet_end EXIT
  # shellcheck disable=SC1090
  . "lab/e2e/$NAME.sh" || fail "the script stopped"
  want "violations" "$(fleet_violations)" 0
  [ "$FAILED" = 0 ] && echo "ok $NAME"
  return "$FAILED"
}

NAMES=("$@")
[ $# -gt 0 ] || for f in lab/e2e/*.sh; do NAMES+=("$(basename "$f" .sh)"); done
DIR=${E2E_DIR:-run/e2e}
rm -rf "$DIR"
passed=0 failed=0 port=${E2E_PORT:-10000} pids=()
for name in "${NAMES[@]}"; do
  (run_one "$name" "$port") &
  pids+=($!)
  port=$((port + 1000))
done
for pid in "${pids[@]}"; do
  if wait "$pid"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "e2e: $passed passed, $failed failed"
[ "$failed" = 0 ]
