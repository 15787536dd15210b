#!/usr/bin/env bash
# Shows the main job with separate processes: three routers in two data
# centres, chats that return, an order that is sent twice and runs once, and a
# data centre that is taken out and comes back. Usage: demo.sh [SHEET]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh
trap fleet_end EXIT

SHEET=${1:-deploy/trust.ini}
case $(basename "$SHEET") in
  zarqa.ini) FIRST=zarqa SECOND=amman MODEL=camphor-12b POOL=camphor SERVICE=orders ONCE=/orders/die-booking TOKEN=token-press-floor ;;
  *) FIRST=colombo SECOND=kandy MODEL=psalm-8b POOL=psalter SERVICE=vestry ONCE=/vestry/boards/7 TOKEN=token-galle-fort ;;
esac
ENGINE=("bear = 16" "cold = 2" "ramp = 2s" "warm = true" "prefill = 50us" "token = 10ms" "memory = 100000" "lag = 200ms" "level = warn")

say() { printf '\n== %s\n' "$*"; }

# chat ROUTER KEY MESSAGES: one turn; prints the engine and what was cached.
chat() {
  curl -s -m 10 "http://$(fleet_address "$1")/v1/chat/completions" -H "Authorization: Bearer $TOKEN" \
    -d "{\"model\":\"$MODEL\",\"prompt_cache_key\":\"$2\",\"messages\":[$3]}" |
    grep -o '"model":"[^"]*"\|"prompt_tokens":[0-9]*\|"cached_tokens":[0-9]*' | tr '\n' ' '
  echo
}

message() { printf '{"role":"%s","content":"%s"}' "$1" "$2"; }

# order ROUTER: sends the order once; prints what came back.
order() {
  curl -s -m 10 -D - "http://$(fleet_address "$1")$ONCE" -H "Authorization: Bearer $TOKEN" \
    -H "Idempotency-Key: demo-order-1" -d 'set=42' | tr -d '\r' | grep -i '^HTTP\|^X-Replayed\|runs'
}

fleet_begin run/demo 21000
fleet_router r1 "$FIRST" 1
fleet_router r2 "$SECOND" 1
fleet_router r3 "$SECOND" 2
fleet_engines "$POOL-$FIRST-" "$POOL" "$FIRST" 3 "${ENGINE[@]}"
fleet_engines "$POOL-$SECOND-" "$POOL" "$SECOND" 3 "${ENGINE[@]}"
fleet_service "$SERVICE-$FIRST" "$SERVICE" "$FIRST"
fleet_service "$SERVICE-$SECOND" "$SERVICE" "$SECOND"
fleet_start
# The demo has two entry instances in the second data centre.
awk -v dc="[datacentre $SECOND]" '
  /^\[/ { here = ($0 == dc) }
  here && /^seats/ { print "seats = 2"; next }
  /^ramp = 10s/ { print "ramp = 2s"; next }
  { print }' "$SHEET" >run/demo/sheet.ini

say "publish $SHEET and wait until the routers are ready"
fleet_publish run/demo/sheet.ini || exit 1
# shellcheck disable=SC2046
"$BIN/camphorctl" show $(fleet_operators)

say "a chat returns through three routers and finds its prefix cached"
history=$(message user "Which hymns suit the first Sunday of Advent, and in which languages do we have readings for them?")
for r in r1 r2 r3; do
  chat $r advent "$history"
  history="$history,$(message assistant "ok"),$(message user "And for the second Sunday, please, with the numbers for the boards?")"
done

say "an order is sent twice, through two routers, and runs once"
order r1
order r2

say "$FIRST is taken out of service, under load, and comes back"
# shellcheck disable=SC2046
"$BIN/lab-load" chats --target "$(fleet_address r1)" --target "$(fleet_address r2)" --target "$(fleet_address r3)" \
  $(printf -- '--engine %s ' "${FLEET_ENGINES[@]}") --token "$TOKEN" --model "$MODEL" --rate 40 --chats 80 \
  --phase in=4s --phase out=5s --phase back=5s >run/demo/figures &
load=$!
sleep 4
"$BIN/camphorctl" out --log "$FLEET_LOG" "$FIRST"
sleep 5
"$BIN/camphorctl" in --log "$FLEET_LOG" "$FIRST"
wait $load

say "figures"
grep '^reuse\|quantile=0.95\|^failed' run/demo/figures
echo "violations value=$(fleet_violations)"

say "service-level burn"
# shellcheck disable=SC2046
"$BIN/camphorctl" burn $(fleet_operators)
# shellcheck disable=SC2046
"$BIN/camphorctl" burn --html run/demo/burn.html $(fleet_operators) && echo "with a plot: run/demo/burn.html"
