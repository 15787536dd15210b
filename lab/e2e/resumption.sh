# Guards against the text of another answer in the middle of a stream (MIXED): the stream
# has begun and broken off, and the engines answer each further attempt with an error, or
# with a success that is no stream. The caller gets each event once, and no end mark.
start_common_fleet || return 1
set_engine_faults() { for e in "${FLEET_ENGINES[@]}"; do curl -s -X PUT "http://$e/_faults" -H 'Content-Type: application/json' -d "$1" >/dev/null; done; }
# stream_text FILE: prints the text of a streamed response.
stream_text() { grep -o '"content":"[^"]*"' "$1" | cut -d'"' -f4 | tr -d '\n'; }
post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":5')" -N >"$FLEET_DIR/plain"
for status in 500 400 200; do
  set_engine_faults '{"truncate_after":5,"error_on_retry":'$status'}'
  post r1 /v1/chat/completions "$(chat_body hello plain ',"stream":true,"max_tokens":12,"temperature":0')" -N >"$FLEET_DIR/cut-$status"
  expect_equal "text of a stream after which engines answer $status" "$(stream_text "$FLEET_DIR/cut-$status")" "$(stream_text "$FLEET_DIR/plain")"
  expect_equal "events with an error in it" "$(grep -c 'no room' "$FLEET_DIR/cut-$status")" 0
  expect_equal "end marks in it" "$(grep -c DONE "$FLEET_DIR/cut-$status")" 0
done
set_engine_faults '{}'
