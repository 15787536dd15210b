package gateway_test

import (
	"io"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// bodyPause is the time between the two parts of a body that arrives slowly.
const bodyPause = 50 * time.Millisecond

// request-while-closing ROUTE METHOD ID: sends a caller's request whose body arrives while the
// router begins to close its callers' connections.
func cmdRequestWhileClosing(ts *testscript.TestScript, f *fixture, a []string) {
	body, writer := io.Pipe()
	r, err := http.NewRequest(a[1], f.server.URL+"/x", body)
	ts.Check(err)
	r.Host = a[0]
	r.Header.Set("X-Id", a[2])
	go func() {
		_, _ = writer.Write([]byte("first "))
		time.Sleep(bodyPause)
		f.gateway.Closing.Store(true)
		_, _ = writer.Write([]byte("second"))
		_ = writer.Close()
	}()
	f.do(r)
}
