# Two operators publish on the same base revision at once: one succeeds, and the
# other gets an error that names the revision in force. A revision is in force at
# all routers within a second, and a router that starts while the log service is
# unavailable receives it from its peers. Bad commands, flags and sheets are
# rejected with the expected exit codes and errors.
start_common_fleet || return 1
sed 's/^share = 4/share = 5/' "$FLEET_DIR/sheet.ini" >"$FLEET_DIR/one.ini"
sed 's/^share = 4/share = 6/' "$FLEET_DIR/sheet.ini" >"$FLEET_DIR/two.ini"
"$BIN/camphorctl" publish --log "$FLEET_LOG" --base 1 "$FLEET_DIR/one.ini" >"$FLEET_DIR/race1" 2>&1 &
first_pid=$!
"$BIN/camphorctl" publish --log "$FLEET_LOG" --base 1 "$FLEET_DIR/two.ini" >"$FLEET_DIR/race2" 2>&1 &
second_pid=$!
succeeded=0
wait $first_pid && succeeded=$((succeeded + 1))
wait $second_pid && succeeded=$((succeeded + 1))
expect_equal "successful publications on the same base revision" "$succeeded" 1
expect_contains "error of the rejected publication" "$(cat "$FLEET_DIR/race1" "$FLEET_DIR/race2")" 'revision 2 was in force'
sleep 1
for r in r1 r2 r3; do
  address=$(fleet_address $r)
  expect_contains "revision in force at $r" "$(curl -s "http://127.0.0.1:$((${address#*:} + 2))/status")" '"revision":2'
done
curl -s -X PUT "http://$FLEET_LOG/faults" -H 'Content-Type: application/json' -d '{"away":true}' >/dev/null
"$BIN/camphorctl" publish --log "$FLEET_LOG" "$FLEET_DIR/one.ini" >/dev/null 2>&1 && fail "publish while the log service is unavailable: got success, want an error"
kill -9 "$(fleet_pid r1)"
sleep 0.2
fleet_start_process camphorpulley r1
fleet_wait 30 fleet_is_ready r1 || fail "router that starts while the log service is unavailable: got not ready after 30 s, want ready"
address=$(fleet_address r1)
expect_contains "revision received from peers" "$(curl -s "http://127.0.0.1:$((${address#*:} + 2))/status")" '"revision":2'
expect_contains "chat at the router that got its revision from peers" "$(post r1 /v1/chat/completions "$(chat_body hello a)")" cached_tokens
printf '[sheet]\nnaem = x\n\n[pool p]\nkind = modle\nbear = many\n' >"$FLEET_DIR/bad.ini"
"$BIN/camphorctl" nosuch >/dev/null 2>&1
expect_equal "exit code of an unknown command" $? 2
"$BIN/camphorctl" publish --nosuch x >/dev/null 2>&1
expect_equal "exit code of an unknown flag" $? 2
"$BIN/camphorctl" show --router 127.0.0.1:1 >/dev/null 2>&1
expect_equal "exit code for an unreachable router" $? 1
got=$("$BIN/camphorctl" check "$FLEET_DIR/bad.ini" 2>&1)
expect_equal "exit code of a bad sheet" $? 2
expect_contains "error for an unknown key" "$got" 'bad.ini:2: unknown key "naem"'
expect_contains "error for a value of the wrong type" "$got" 'bad.ini:6: key "bear": "many" is not a whole number'
expect_contains "error for a value that is not allowed" "$got" 'bad.ini:5: key "pool[0] kind" must be one of: model, service'
