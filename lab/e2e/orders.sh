# An order runs at most once if it is sent to all routers at once, if it is sent
# again after a lost response, and if the log service is unavailable.
start_common_fleet || return 1
for i in 1 2 3; do
  for r in r1 r2 r3; do post $r /vestry/boards/7 set -H "Idempotency-Key: together-$i" >"$FLEET_DIR/$r-$i" & done
  wait $(jobs -p | grep -v -F "$(printf '%s\n' "${FLEET_PIDS[@]}")")
  expect_equal "runs of together-$i" "$(order_runs "together-$i")" 1
  for r in r1 r2 r3; do expect_contains "response of $r to together-$i" "$(cat "$FLEET_DIR/$r-$i")" '"runs":1'; done
done
expect_contains "other request with a used idempotency key" "$(post r1 /vestry/boards/7 other -H 'Idempotency-Key: together-1')" key_reused

for s in "${FLEET_SERVICES[@]}"; do curl -s -X PUT "http://$s/_faults" -H 'Content-Type: application/json' -d '{"lose_answers":true}' >/dev/null; done
got=$(post r1 /vestry/boards/7 set -H 'Idempotency-Key: lost')
expect_contains "order whose response is lost" "$got" outcome_unknown
for s in "${FLEET_SERVICES[@]}"; do curl -s -X PUT "http://$s/_faults" -H 'Content-Type: application/json' -d '{}' >/dev/null; done
got=$(post r2 /vestry/boards/7 set -H 'Idempotency-Key: lost' -H 'X-Timeout-Ms: 1500')
expect_contains "order sent again after a lost response" "$got" outcome_unknown
expect_equal "runs of lost" "$(order_runs lost)" 1

curl -s -X PUT "http://$FLEET_LOG/faults" -H 'Content-Type: application/json' -d '{"lose_answers":true}' >/dev/null
expect_contains "order whose log append gets no response" "$(post r1 /vestry/boards/7 set -H 'Idempotency-Key: unanswered')" '"runs":1'
expect_equal "runs of unanswered" "$(order_runs unanswered)" 1
curl -s -X PUT "http://$FLEET_LOG/faults" -H 'Content-Type: application/json' -d '{"away":true}' >/dev/null
got=$(post r1 /vestry/boards/7 set -H 'Idempotency-Key: away')
expect_contains "order while the log service is unavailable" "$got" not_run
expect_contains "order while the log service is unavailable" "$got" log_unavailable
expect_equal "runs while the log service is unavailable" "$(order_runs away)" 0
expect_contains "chat while the log service is unavailable" "$(post r1 /v1/chat/completions "$(chat_body hello a)")" cached_tokens
curl -s -X PUT "http://$FLEET_LOG/faults" -H 'Content-Type: application/json' -d '{}' >/dev/null
sleep 1
expect_contains "order sent again after the log service recovered" "$(post r2 /vestry/boards/7 set -H 'Idempotency-Key: away')" '"runs":1'
expect_equal "runs after the log service recovered" "$(order_runs away)" 1
