# Streams that are cut, doubled or crossed reach the caller whole and once; a
# caller that leaves cancels its stream; a request that crashes engines loses
# at most two, and its neighbours are served.
common_fleet || return 1
# fault JSON: switches faults on at all engines.
fault() { for e in "${FLEET_ENGINES[@]}"; do curl -s -X PUT "http://$e/_faults" -H 'Content-Type: application/json' -d "$1" >/dev/null; done; }
# words FILE: the words of a streamed answer.
words() { grep -o '"content":"[^"]*"' "$1" | cut -d'"' -f4 | tr -d '\n'; }
post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/plain"
fault '{"truncate_after":5}'
post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/cut"
contains "a truncated stream" "$(tail -n 4 "$FLEET_DIR/cut")" 'data: [DONE]'
want "words of a truncated stream" "$(words "$FLEET_DIR/cut")" "$(words "$FLEET_DIR/plain")"
fault '{"repeat":true}'
post r2 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/twice"
want "words of a doubled stream" "$(words "$FLEET_DIR/twice")" "$(words "$FLEET_DIR/plain")"
fault '{"stall_after":4}'
post r2 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12,"temperature":0')" -N >"$FLEET_DIR/stalled"
want "words of a stalled stream" "$(words "$FLEET_DIR/stalled")" "$(words "$FLEET_DIR/plain")"
fault '{"cross":true}'
got=$(post r1 /v1/chat/completions "$(chat_body hello crossed)")
contains "a crossed answer" "$got" 'outcome_unknown'
fault '{}'
# engines_running: what the engines count. One that stalls notices late that
# its caller has gone.
engines_running() { fleet_sum running "${FLEET_ENGINES[@]}"; }
idle() { [ "$(engines_running)" = 0 ]; }
fleet_wait 15 idle || fail "the engines are still running stalled streams"
timeout 0.5 curl -s -N "http://$(fleet_address r1)/v1/chat/completions" -H "Authorization: Bearer $TOKEN" \
  -d "$(chat_body hello leaves ',"stream":true,"max_tokens":2000')" >/dev/null
sleep 1
want "running after the caller left" "$(engines_running)" 0

# boots: how many processes the engines have had.
boots() { fleet_sum boots "${FLEET_ENGINES[@]}"; }
before=$(boots)
post r1 /v1/chat/completions "$(chat_body 'an innocent neighbour' neighbour ',"max_tokens":100')" >"$FLEET_DIR/neighbour" &
neighbour=$!
sleep 0.2
for r in r1 r2 r3 r1 r2; do
  post $r /v1/chat/completions "$(chat_body 'crash the engine' same)" >"$FLEET_DIR/crash"
  sleep 0.3
done
contains "a request that crashes engines" "$(cat "$FLEET_DIR/crash")" crashes_upstreams
sleep 1
lost=$(($(boots) - before))
[ "$lost" -le 2 ] || fail "engines lost to one request: got $lost, want at most 2"
wait $neighbour
contains "the neighbour" "$(cat "$FLEET_DIR/neighbour")" cached_tokens
