#!/usr/bin/env bash
# Demonstrates the routers with separate processes: three routers in two data
# centres serve multi-turn chats, run an order only once although it is sent twice,
# and stay in service while a data centre is taken out of service and put back.
# Usage: demo.sh [SHEET]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh
trap fleet_stop EXIT

SHEET=${1:-deploy/trust.ini}
case $(basename "$SHEET") in
  zarqa.ini) FIRST_DC=zarqa SECOND_DC=amman MODEL=camphor-12b POOL=camphor SERVICE=orders ORDER_PATH=/orders/die-booking TOKEN=token-press-floor ;;
  *) FIRST_DC=colombo SECOND_DC=kandy MODEL=psalm-8b POOL=psalter SERVICE=vestry ORDER_PATH=/vestry/boards/7 TOKEN=token-galle-fort ;;
esac
ENGINE_SETTINGS=("bear = 16" "cold = 2" "ramp = 2s" "warm = true" "prefill = 50us" "token = 10ms" "memory = 100000" "lag = 200ms" "level = warn")

heading() { printf '\n== %s\n' "$*"; }

# chat ROUTER KEY MESSAGES: sends one chat request; prints the engine, the number
# of prompt tokens and the number of those that were cached.
chat() {
  curl -s -m 10 "http://$(fleet_address "$1")/v1/chat/completions" -H "Authorization: Bearer $TOKEN" \
    -d "{\"model\":\"$MODEL\",\"prompt_cache_key\":\"$2\",\"messages\":[$3]}" |
    grep -o '"model":"[^"]*"\|"prompt_tokens":[0-9]*\|"cached_tokens":[0-9]*' | tr '\n' ' '
  echo
}

message() { printf '{"role":"%s","content":"%s"}' "$1" "$2"; }

# order ROUTER: sends the order once; prints the status line, whether the response
# is a replay, and how often the order has run.
order() {
  curl -s -m 10 -D - "http://$(fleet_address "$1")$ORDER_PATH" -H "Authorization: Bearer $TOKEN" \
    -H "Idempotency-Key: demo-order-1" -d 'set=42' | tr -d '\r' | grep -i '^HTTP\|^X-Replayed\|runs'
}

fleet_init run/demo 21000
fleet_add_router r1 "$FIRST_DC" 1
fleet_add_router r2 "$SECOND_DC" 1
fleet_add_router r3 "$SECOND_DC" 2
fleet_add_engines "$POOL-$FIRST_DC-" "$POOL" "$FIRST_DC" 3 "${ENGINE_SETTINGS[@]}"
fleet_add_engines "$POOL-$SECOND_DC-" "$POOL" "$SECOND_DC" 3 "${ENGINE_SETTINGS[@]}"
fleet_add_service "$SERVICE-$FIRST_DC" "$SERVICE" "$FIRST_DC"
fleet_add_service "$SERVICE-$SECOND_DC" "$SERVICE" "$SECOND_DC"
fleet_start
# The demo runs two routers in the second data centre and a shorter ramp.
awk -v dc="[datacentre $SECOND_DC]" '
  /^\[/ { in_section = ($0 == dc) }
  in_section && /^seats/ { print "seats = 2"; next }
  /^ramp = 10s/ { print "ramp = 2s"; next }
  { print }' "$SHEET" >run/demo/sheet.ini

heading "publish $SHEET and wait until the routers are ready"
fleet_publish run/demo/sheet.ini || exit 1
# shellcheck disable=SC2046
"$BIN/camphorctl" show $(fleet_operator_flags)

heading "a chat goes through three routers and finds its prefix cached"
history=$(message user "Which hymns suit the first Sunday of Advent, and in which languages do we have readings for them?")
for r in r1 r2 r3; do
  chat $r advent "$history"
  history="$history,$(message assistant "ok"),$(message user "And for the second Sunday, please, with the numbers for the boards?")"
done

heading "an order is sent through two routers and runs once"
order r1
order r2

heading "$FIRST_DC is taken out of service under load and put back"
# shellcheck disable=SC2046
"$BIN/lab-load" chats --target "$(fleet_address r1)" --target "$(fleet_address r2)" --target "$(fleet_address r3)" \
  $(printf -- '--engine %s ' "${FLEET_ENGINES[@]}") --token "$TOKEN" --model "$MODEL" --rate 40 --chats 80 \
  --phase in=4s --phase out=5s --phase back=5s >run/demo/figures &
load_pid=$!
sleep 4
"$BIN/camphorctl" out --log "$FLEET_LOG" "$FIRST_DC"
sleep 5
"$BIN/camphorctl" in --log "$FLEET_LOG" "$FIRST_DC"
wait $load_pid

heading "figures"
grep '^reuse\|quantile=0.95\|^failed' run/demo/figures
echo "violations value=$(fleet_violations)"

heading "error budget burn rates"
# shellcheck disable=SC2046
"$BIN/camphorctl" burn $(fleet_operator_flags)
# shellcheck disable=SC2046
"$BIN/camphorctl" burn --html run/demo/burn.html $(fleet_operator_flags) && echo "page with a plot: run/demo/burn.html"
