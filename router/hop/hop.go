// Package hop tells header fields that concern one connection from those that
// are passed on.
package hop

import (
	"net/http"
	"slices"
	"strings"
)

// fields lists the header fields that concern one connection only.
var fields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// Copy adds to dst the fields of src that are passed on, without those named in
// drop. Names are in canonical form.
func Copy(dst, src http.Header, drop []string) {
	named := strings.Split(strings.Join(src.Values("Connection"), ","), ",")
	for name, values := range src {
		if slices.Contains(fields, name) || slices.Contains(drop, name) || slices.ContainsFunc(named, func(n string) bool {
			return strings.EqualFold(strings.TrimSpace(n), name)
		}) {
			continue
		}
		dst[name] = values
	}
}
