# Two operators race; one wins and the other gets a clear error. A revision is
# in force everywhere within a second, and a router that starts while the log
# is away takes it from its peers.
common_fleet || return 1
sed 's/^share = 4/share = 5/' "$FLEET_DIR/sheet.ini" >"$FLEET_DIR/one.ini"
sed 's/^share = 4/share = 6/' "$FLEET_DIR/sheet.ini" >"$FLEET_DIR/two.ini"
"$BIN/camphorctl" publish --log "$FLEET_LOG" --base 1 "$FLEET_DIR/one.ini" >"$FLEET_DIR/race1" 2>&1 &
first=$!
"$BIN/camphorctl" publish --log "$FLEET_LOG" --base 1 "$FLEET_DIR/two.ini" >"$FLEET_DIR/race2" 2>&1 &
second=$!
won=0
wait $first && won=$((won + 1))
wait $second && won=$((won + 1))
want "winners of the race" "$won" 1
contains "the loser's error" "$(cat "$FLEET_DIR/race1" "$FLEET_DIR/race2")" 'revision 2 was in force'
sleep 1
for r in r1 r2 r3; do
  port=$(fleet_address $r)
  contains "revision at $r" "$(curl -s "http://127.0.0.1:$((${port#*:} + 2))/status")" '"revision":2'
done
curl -s -X PUT "http://$FLEET_LOG/faults" -H 'Content-Type: application/json' -d '{"away":true}' >/dev/null
"$BIN/camphorctl" publish --log "$FLEET_LOG" "$FLEET_DIR/one.ini" >/dev/null 2>&1 && fail "publish with the log away: got success"
kill -9 "$(fleet_pid r1)"
sleep 0.2
fleet_run camphorpulley r1
fleet_wait 30 fleet_ready r1 || fail "a router that starts with the log away is not ready"
port=$(fleet_address r1)
contains "revision taken from peers" "$(curl -s "http://127.0.0.1:$((${port#*:} + 2))/status")" '"revision":2'
contains "a chat at that router" "$(post r1 /v1/chat/completions "$(chat_body hello a)")" cached_tokens
printf '[sheet]\nnaem = x\n\n[pool p]\nkind = modle\nbear = many\n' >"$FLEET_DIR/bad.ini"
"$BIN/camphorctl" nosuch >/dev/null 2>&1
want "exit code of an unknown command" $? 2
"$BIN/camphorctl" publish --nosuch x >/dev/null 2>&1
want "exit code of an unknown flag" $? 2
"$BIN/camphorctl" show --router 127.0.0.1:1 >/dev/null 2>&1
want "exit code without a router" $? 1
got=$("$BIN/camphorctl" check "$FLEET_DIR/bad.ini" 2>&1)
want "exit code of a bad sheet" $? 2
contains "unknown key" "$got" 'bad.ini:2: unknown key "naem"'
contains "wrong type" "$got" 'bad.ini:6: key "bear": "many" is not a whole number'
contains "wrong value" "$got" 'bad.ini:5: key "pool[0] kind" must be one of: model, service'
