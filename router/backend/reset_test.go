package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"camphorpulley.org/base/dial/dialtest"
)

// TestResetResponse guards against a truncated response that looks complete (MIXED): a
// response without a length ends with a reset of its connection, before or after the upstream
// has read the request.
func TestResetResponse(t *testing.T) {
	for _, early := range []bool{false, true} {
		ln, err := dialtest.Listen()
		if err != nil {
			t.Fatal(err)
		}
		go respondAndReset(ln, early)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://upstream/")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(make([]byte, 1<<20))
		var body []byte
		err = New(anyBoot{}, 5*time.Second).Do(Target{ID: "u", Address: ln.Addr().String(), OwnConnection: true}, req, resp)
		if err == nil {
			body, err = io.ReadAll(resp.BodyStream())
		}
		if err == nil {
			t.Errorf("response reset midway, early %t: got status %d, body %q and no error, want an error", early, resp.StatusCode(), body)
		}
		_ = ln.Close()
	}
}

// respondAndReset sends half a response to one request and resets the connection; if early,
// before it has read the request's body.
func respondAndReset(ln net.Listener, early bool) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil && !early {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil {
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
	}
	if err == nil {
		time.Sleep(20 * time.Millisecond)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
