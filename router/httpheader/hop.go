// Package httpheader copies the header fields that a proxy forwards and leaves out the
// hop-by-hop ones, which concern a single connection.
package httpheader

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the fields that are never forwarded, besides those that the
// Connection field names. Content-Length is among them because whoever writes the
// forwarded message sets it.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// CopyEndToEnd copies the end-to-end fields of src to dst, without those listed in
// drop. A field replaces one of the same name in dst, and its values are shared, not
// copied. All names must be in canonical form.
func CopyEndToEnd(dst, src http.Header, drop []string) {
	connectionFields := strings.Split(strings.Join(src.Values("Connection"), ","), ",")
	for name, values := range src {
		if slices.Contains(hopByHop, name) || slices.Contains(drop, name) || slices.ContainsFunc(connectionFields, func(n string) bool {
			return strings.EqualFold(strings.TrimSpace(n), name)
		}) {
			continue
		}
		dst[name] = values
	}
}
