# Streams that an engine truncates, duplicates or stalls reach the caller complete
# and once, and a response with another request's id is not passed on. A caller
# that disconnects cancels its stream. A request that crashes engines crashes at
# most two, and concurrent requests are served.
start_common_fleet || return 1
# set_engine_faults JSON: sets the faults that all engines inject.
set_engine_faults() { for e in "${FLEET_ENGINES[@]}"; do curl -s -X PUT "http://$e/_faults" -H 'Content-Type: application/json' -d "$1" >/dev/null; done; }
# stream_text FILE: prints the text of a streamed response.
stream_text() { grep -o '"content":"[^"]*"' "$1" | cut -d'"' -f4 | tr -d '\n'; }
post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/plain"
set_engine_faults '{"truncate_after":5}'
post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/cut"
expect_contains "end of a truncated stream" "$(tail -n 4 "$FLEET_DIR/cut")" 'data: [DONE]'
expect_equal "text of a truncated stream" "$(stream_text "$FLEET_DIR/cut")" "$(stream_text "$FLEET_DIR/plain")"
set_engine_faults '{"repeat":true}'
post r2 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12')" -N >"$FLEET_DIR/twice"
expect_equal "text of a stream with duplicate events" "$(stream_text "$FLEET_DIR/twice")" "$(stream_text "$FLEET_DIR/plain")"
set_engine_faults '{"stall_after":4}'
post r2 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12,"temperature":0')" -N >"$FLEET_DIR/stalled"
expect_equal "text of a stalled stream" "$(stream_text "$FLEET_DIR/stalled")" "$(stream_text "$FLEET_DIR/plain")"
set_engine_faults '{"cross":true}'
got=$(post r1 /v1/chat/completions "$(chat_body hello crossed)")
expect_contains "response with the id of another request" "$got" 'outcome_unknown'
set_engine_faults '{}'
# engines_running: prints the number of requests that the engines are running. An
# engine that stalls detects late that its caller has disconnected.
engines_running() { fleet_sum_stat running "${FLEET_ENGINES[@]}"; }
engines_idle() { [ "$(engines_running)" = 0 ]; }
fleet_wait 15 engines_idle || fail "requests running at the engines 15 s after a stalled stream: got $(engines_running), want 0"
timeout 0.5 curl -s -N "http://$(fleet_address r1)/v1/chat/completions" -H "Authorization: Bearer $TOKEN" \
  -d "$(chat_body hello leaves ',"stream":true,"max_tokens":2000')" >/dev/null
sleep 1
expect_equal "requests running after the caller disconnected" "$(engines_running)" 0

# engine_boots: prints how many processes the engines have started so far.
engine_boots() { fleet_sum_stat boots "${FLEET_ENGINES[@]}"; }
before=$(engine_boots)
post r1 /v1/chat/completions "$(chat_body 'an innocent neighbour' neighbour ',"max_tokens":100')" >"$FLEET_DIR/concurrent" &
concurrent_pid=$!
sleep 0.2
for r in r1 r2 r3 r1 r2; do
  post $r /v1/chat/completions "$(chat_body 'crash the engine' same)" >"$FLEET_DIR/crash"
  sleep 0.3
done
expect_contains "response to a request that crashes engines" "$(cat "$FLEET_DIR/crash")" crashes_upstreams
sleep 1
crashes=$(($(engine_boots) - before))
[ "$crashes" -le 2 ] || fail "engine crashes caused by one request: got $crashes, want at most 2"
wait $concurrent_pid
expect_contains "response to a concurrent request" "$(cat "$FLEET_DIR/concurrent")" cached_tokens
