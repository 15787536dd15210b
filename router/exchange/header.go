package exchange

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// notForwarded lists header fields that apply to one connection, that the router
// sets itself, or that are meant for the router alone.
var notForwarded = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", "content-length", "content-type", "host", "authorization",
	"date", "server", "x-request-id", "x-attempt", "x-timeout-ms", "x-outcome", "x-engine-boot",
	"idempotency-key", "last-event-id", "expect",
}

// IsForwarded reports whether a header field is forwarded, in requests and
// responses.
func IsForwarded(name string) bool {
	return !slices.Contains(notForwarded, strings.ToLower(name))
}

func forwardedHeaders(h *fasthttp.ResponseHeader) []HeaderField {
	var all []HeaderField
	for name, value := range h.All() {
		if IsForwarded(string(name)) {
			all = append(all, HeaderField{string(name), string(value)})
		}
	}
	return all
}
