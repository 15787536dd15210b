# A router that receives SIGTERM while it relays streams completes them before it
# exits, and the other routers serve new requests.
start_common_fleet || return 1
for i in 1 2 3 4 5 6; do
  post r1 /v1/chat/completions "$(chat_body hello "s$i" ',"stream":true,"max_tokens":300')" -N >"$FLEET_DIR/stream$i" &
done
sleep 1
kill -TERM "$(fleet_pid r1)"
sleep 0.3
expect_equal "readiness status while shutting down" "$(curl -s -o /dev/null -w '%{http_code}' "http://$(fleet_address r1)/readyz")" 503
for k in 1 2 3 4; do expect_contains "chat at another router during the shutdown" "$(post r2 /v1/chat/completions "$(chat_body hello "n$k")")" cached_tokens; done
fleet_wait 15 test ! -e "/proc/$(fleet_pid r1)" || fail "router after SIGTERM: got still running after 15 s, want exited"
sleep 0.2
for i in 1 2 3 4 5 6; do expect_contains "end of stream $i" "$(tail -n 4 "$FLEET_DIR/stream$i")" 'data: [DONE]'; done
expect_contains "last log line of the router" "$(tail -n 1 "$FLEET_DIR/r1.log")" 'cut=0'
