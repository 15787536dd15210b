package exchange

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// ownHeaders are not passed on: they belong to one connection, or the router
// sets them itself.
var ownHeaders = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", "content-length", "content-type", "host", "authorization",
	"date", "server", "x-request-id", "x-attempt", "x-timeout-ms", "x-outcome", "x-engine-boot",
	"idempotency-key", "last-event-id", "expect",
}

// Passes reports whether a header field is passed on.
func Passes(name string) bool {
	return !slices.Contains(ownHeaders, strings.ToLower(name))
}

func passed(h *fasthttp.ResponseHeader) []Header {
	var all []Header
	for name, value := range h.All() {
		if Passes(string(name)) {
			all = append(all, Header{string(name), string(value)})
		}
	}
	return all
}
