package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/router/blocks"
)

// TestAbandonedRequestIsReset guards against requests that arrive after they were given up,
// once a path that was cut is back: what waited in the send buffer was still delivered after
// the connection was closed. The upstream reads nothing until the request has been given up,
// by its caller or by its deadline.
func TestAbandonedRequestIsReset(t *testing.T) {
	for _, by := range []string{"caller", "deadline"} {
		t.Run(by, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			deadline := time.Now().Add(time.Minute)
			if by == "deadline" {
				deadline = time.Now().Add(100 * time.Millisecond)
			} else {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			c, err := new(Pool).Get(ctx, time.Now(), ln.Addr().String(), Options{ConnectTimeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			upstream, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = upstream.Close() }()
			// The body is larger than the buffers of both sockets.
			body := make([]byte, 32<<20)
			accept := func(int, http.Header) error { return nil }
			if _, err := c.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: blocks.Of(body), HasBody: true, Deadline: deadline}, Wait{Until: deadline}, accept); err == nil {
				t.Fatal("request without a response: got no error, want one")
			}
			if err := upstream.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, upstream); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("end of the abandoned request at the upstream: got error %v, want %v", err, syscall.ECONNRESET)
			}
		})
	}
}
