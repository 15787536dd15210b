package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// lateRead is how late an upstream reads a body: later than dial.UserTimeout, and within
// routeTimeout.
const lateRead = 1700 * time.Millisecond

// respondLate sends half of a response, reads the body of the request later and sends the rest.
func respondLate(c net.Conn, r *http.Request, data []byte) {
	if _, err := c.Write(data[:len(data)/2]); err != nil {
		return
	}
	time.Sleep(lateRead)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = c.Write(data[len(data)/2:])
}

// identity returns the response in which the upstream states the start of its process.
func (u *upstream) identity() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(u.started), u.started)
}

// started UPSTREAM MS: the upstream states another start of its process than its entry.
func cmdStarted(_ *testscript.TestScript, f *fixture, a []string) {
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = a[1]
}
