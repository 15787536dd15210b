# Chats, streams and application requests are served through the routers, and bad
# requests are refused before anything is sent upstream.
start_common_fleet || return 1
expect_contains "first request of a chat" "$(post r1 /v1/chat/completions "$(chat_body hello a)")" '"cached_tokens":0'
expect_contains "second request of a chat, through another router" "$(post r2 /v1/chat/completions "$(chat_body hello a)")" '"cached_tokens":2'
expect_contains "streamed response" "$(post r3 /v1/chat/completions "$(chat_body hello a ',"stream":true')" -N)" 'data: [DONE]'
expect_contains "response of an application" "$(post r1 /vestry/readings hello)" '"path":"/vestry/readings"'
expect_contains "response of an application to a HEAD" "$(curl -s -m 5 -I "http://$(fleet_address r1)/vestry/readings" -H "Authorization: Bearer $TOKEN")" 'HTTP/1.1 200'
before=$(for e in "${FLEET_ENGINES[@]}" "${FLEET_SERVICES[@]}"; do curl -s "http://$e/_stats"; done | grep -o '"requests":[0-9]*')
# expect_refused STATUS CODE ROUTER PATH BODY [CURL ARGUMENT...]: sends a request
# and checks the status and the error code of the response.
expect_refused() {
  local status=$1 code=$2 got
  shift 2
  got=$(post "$@")
  expect_contains "refusal $code: error code" "$got" "\"code\":\"$code\""
  expect_contains "refusal $code: error type" "$got" '"type":"not_run"'
  expect_equal "refusal $code: status" "$(echo "$got" | tail -n 1)" "$status"
}
expect_refused 400 bad_json r1 /v1/chat/completions '{"model":'
expect_refused 400 no_messages r1 /v1/chat/completions '{"model":"psalm-8b","messages":[]}'
expect_refused 400 no_model r1 /v1/chat/completions '{"messages":[{"role":"user","content":"x"}]}'
expect_refused 404 unknown_model r1 /v1/chat/completions '{"model":"nosuch","messages":[{"role":"user","content":"x"}]}'
expect_refused 404 unknown_path r1 /nosuch x
expect_refused 400 bad_path r1 /vestry/%2e%2e/boards x --path-as-is
expect_refused 400 no_idempotency_key r1 /vestry/boards x
expect_refused 400 bad_timeout r1 /vestry/readings x -H 'X-Timeout-Ms: soon'
TOKEN=wrong expect_refused 401 bad_token r1 /vestry/readings x
# expect_smuggling_refused NAME HEADERS BODY: sends a request whose length two
# HTTP parsers may read differently, and checks that it is refused.
expect_smuggling_refused() {
  local address got
  address=$(fleet_address r1)
  got=$(printf 'POST /vestry/readings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%b\r\n%b' "$TOKEN" "$2" "$3" |
    timeout 3 bash -c "exec 3<>/dev/tcp/${address%:*}/${address#*:}; cat >&3; timeout 1 cat <&3" 2>/dev/null | head -c 300)
  expect_contains "$1" "$got" 'HTTP/1.1 400'
}
expect_smuggling_refused "Content-Length with Transfer-Encoding" 'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n' '0\r\n\r\n'
expect_smuggling_refused "two different Content-Lengths" 'Content-Length: 4\r\nContent-Length: 5\r\n' 'abcde'
expect_smuggling_refused "invalid chunk size" 'Transfer-Encoding: chunked\r\n' 'zz\r\nabc\r\n0\r\n\r\n'
head -c 5000000 /dev/zero >"$FLEET_DIR/large"
expect_equal "status for a body above the size limit" "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(fleet_address r1)/vestry/readings" -H "Authorization: Bearer $TOKEN" --data-binary "@$FLEET_DIR/large")" 413
after=$(for e in "${FLEET_ENGINES[@]}" "${FLEET_SERVICES[@]}"; do curl -s "http://$e/_stats"; done | grep -o '"requests":[0-9]*')
expect_equal "requests at upstreams after the refusals" "$after" "$before"
expect_contains "metrics page" "$(curl -s "http://127.0.0.1:$((FLEET_PORT + 103))/metrics")" 'requests_total'
