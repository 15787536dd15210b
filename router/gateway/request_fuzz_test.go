package gateway_test

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/core/memory"
	"camphorpulley.org/router/budget"
)

// panicCounter counts the panics in a log of net/http.
type panicCounter struct{ atomic.Int64 }

// Write implements io.Writer.
func (c *panicCounter) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "panic") {
		c.Add(1)
	}
	return len(p), nil
}

// FuzzRequest guards against bytes of a caller that make a handler panic, get an answer that isn't
// one, or leave memory held. The gateway has no upstream.
func FuzzRequest(f *testing.F) {
	head := "POST /x HTTP/1.1\r\nHost: safe\r\nX-Id: a\r\n"
	for _, seed := range []string{
		"GET /x HTTP/1.1\r\nHost: safe\r\nX-Id: a\r\n\r\n", "\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: safe\r\n\r\n",
		head + "Content-Length: 5\r\n\r\nhello", head + "Content-Length: 50\r\n\r\nhello", head + "Content-Length: -1\r\n\r\n",
		head + "Content-Length: 99999999999999999999\r\n\r\n", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nT: v\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
		head + "Last-Event-Id: -9\r\nResumes: b\r\nX-Parts: aaaa\r\nX-Wait: 1\r\n\r\n", "GET http://safe/x HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	fixture := newFixture()
	f.Cleanup(fixture.close)
	held := budget.New(memory.Limits{Held: 1 << 20, Reserve: 1 << 20}, zap.NewNop())
	fixture.gateway.Memory, fixture.gateway.Forwarder.Memory = held, held
	var panics panicCounter
	fixture.server.Config.ErrorLog = log.New(&panics, "", 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		if bytes.Contains(data, []byte("HEAD ")) {
			t.Skip("the answers to HEAD look as if they had a body")
		}
		c, err := net.Dial("tcp4", fixture.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		// The gateway may close the connection at any byte.
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
		reader := bufio.NewReader(c)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				var netErr net.Error
				if errors.As(err, &netErr) && netErr.Timeout() || strings.Contains(err.Error(), "malformed") {
					t.Errorf("answer: got error %v, want an answer or the end of the connection", err)
				}
				break
			}
			if resp.StatusCode < 100 || resp.StatusCode > 599 {
				t.Errorf("status: got %d, want one from 100 to 599", resp.StatusCode)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if got := panics.Load(); got > 0 {
			t.Errorf("panics: got %d, want 0", got)
		}
		for deadline := time.Now().Add(5 * time.Second); held.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("held at the end: got %d bytes, want 0", held.Held())
			}
		}
	})
}
