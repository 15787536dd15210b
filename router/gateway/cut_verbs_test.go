package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// each-cut UPSTREAM FILE ROUTE METHOD head|whole: sends a request for each place at which the
// response may be cut, in its head or anywhere, and checks that none looks like a success. All
// line ends of a chunked response become CR LF.
func cmdEachCut(ts *testscript.TestScript, f *fixture, a []string) {
	data := rawResponse(ts.ReadFile(a[1]))
	if strings.Contains(data, "chunked") {
		data = strings.ReplaceAll(ts.ReadFile(a[1]), "\n", "\r\n")
	}
	end := len(data)
	if a[4] == "head" {
		end = strings.Index(data, "\r\n\r\n") + len("\r\n\r\n")
	}
	u := f.upstreams[a[0]]
	for n := range end {
		u.mu.Lock()
		u.responses = []response{{data: []byte(data[:n]), after: "close"}}
		u.mu.Unlock()
		f.send(ts, context.Background(), []string{a[2], a[3], "cut-" + strconv.Itoa(n)}, "", nil)
		if f.err == nil && f.status < http.StatusBadRequest {
			ts.Fatalf("response cut after %d of %d bytes: got status %d and the whole body %q, want an error", n, len(data), f.status, f.body)
		}
	}
}
