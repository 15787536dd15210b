package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/base/listener"
	"camphorpulley.org/core/memory"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/gateway"
)

const (
	// smallBufferBytes is the size of the kernel's buffers with the verb small-buffers.
	smallBufferBytes = 64 << 10
	// slowWait bounds the wait for what must happen to a slow caller.
	slowWait = 5 * time.Second
	// missingBytes is how much of a body isn't sent.
	missingBytes = 10
)

// small-buffers: bounds the kernel's buffers of callers' connections, so that what a caller
// doesn't read waits in the gateway.
func cmdSmallBuffers(ts *testscript.TestScript, f *fixture, _ []string) {
	f.restartServer(ts, nil, smallBufferBytes)
}

// connections MAX: bounds the connections of callers.
func cmdConnections(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.Atoi(a[0])
	ts.Check(err)
	f.restartServer(ts, listener.NewBound(most), 0)
}

// restartServer starts the server for callers again, with a bound on its connections and a size
// of the kernel's buffers.
func (f *fixture) restartServer(ts *testscript.TestScript, bound *listener.Bound, bufferBytes int) {
	f.server.Close()
	ln, err := listener.ListenBuffered("127.0.0.1:0", bufferBytes)
	ts.Check(err)
	s := httptest.NewUnstartedServer(f.gateway)
	_ = s.Listener.Close()
	s.Listener = gateway.WatchCallers(s.Config, ln, bound)
	s.Start()
	f.server = s
}

// write-timeout DURATION: sets how long a caller may take nothing of a response.
func cmdWriteTimeout(ts *testscript.TestScript, f *fixture, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	f.gateway.WriteTimeout = d
}

// memory LIMIT RESERVE: bounds the memory that the gateway holds, in KiB.
func cmdMemory(ts *testscript.TestScript, f *fixture, a []string) {
	limit, err := strconv.ParseInt(a[0], 10, 64)
	ts.Check(err)
	reserve, err := strconv.ParseInt(a[1], 10, 64)
	ts.Check(err)
	f.gateway.Memory = budget.New(memory.Limits{Held: limit << 10, Reserve: reserve << 10}, zap.NewNop())
	f.gateway.Forwarder.Memory = f.gateway.Memory
}

// respond-size UPSTREAM stream|body KIB: adds a response with a stream of events, or with a
// body, of a size. The kernel keeps little of it at the upstream.
func cmdRespondSize(ts *testscript.TestScript, f *fixture, a []string) {
	n, err := strconv.Atoi(a[2])
	ts.Check(err)
	head := "HTTP/1.1 200 OK\r\nX-Id: $ID\r\nX-Signed: s1\r\n"
	var data bytes.Buffer
	if a[1] == "body" {
		fmt.Fprintf(&data, "%sContent-Length: %d\r\n\r\n%s", head, n<<10, strings.Repeat("a", n<<10))
	} else {
		fmt.Fprintf(&data, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
		for i := range n {
			event := fmt.Sprintf("id: %d\ndata: ", i+1)
			event += strings.Repeat("a", 1<<10-len(event)-2) + "\n\n"
			fmt.Fprintf(&data, "%x\r\n%s\r\n", len(event), event)
		}
		data.WriteString("0\r\n\r\n")
	}
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responses = append(u.responses, response{data: data.Bytes(), after: "keep", smallBuffer: true})
}

// open ROUTE ID [KIB]: sends a request on a connection of its own and reads nothing; with KIB, the
// request has a body of that size and its last bytes aren't sent.
func cmdOpen(ts *testscript.TestScript, f *fixture, a []string) {
	c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	ts.Check(err)
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		ts.Fatalf("connection: got %T, want *net.TCPConn", c)
	}
	ts.Check(tcp.SetReadBuffer(smallBufferBytes))
	if f.open == nil {
		f.open = map[string]*net.TCPConn{}
	}
	f.open[a[1]] = tcp
	method, fields, body := http.MethodGet, "", ""
	if len(a) > 2 {
		n, err := strconv.Atoi(a[2])
		ts.Check(err)
		method, fields, body = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", n<<10), strings.Repeat("a", n<<10-missingBytes)
	}
	ts.Check(tcp.SetWriteDeadline(time.Now().Add(slowWait)))
	_, err = fmt.Fprintf(tcp, "%s /x HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\n%s\r\n%s", method, a[0], a[1], fields, body)
	ts.Check(err)
}

// sent UPSTREAM N: waits until the upstream has written N responses whole.
func cmdSent(ts *testscript.TestScript, f *fixture, a []string) {
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	u, got := f.upstreams[a[0]], 0
	for deadline := time.Now().Add(slowWait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		u.mu.Lock()
		got = u.sent
		u.mu.Unlock()
		if got >= want {
			return
		}
	}
	ts.Fatalf("responses written by %s: got %d, want %d", a[0], got, want)
}

// read ID STATUS [KIB]: a caller of the verb open reads its response, and checks the status and
// that the body is complete and has this size. A refusal must say when to return.
func cmdRead(ts *testscript.TestScript, f *fixture, a []string) {
	c := f.open[a[0]]
	ts.Check(c.SetReadDeadline(time.Now().Add(slowWait)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	ts.Check(err)
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if got := strconv.Itoa(resp.StatusCode); got != a[1] {
		ts.Fatalf("status of %s: got %s, want %s; body %.200s", a[0], got, a[1], body)
	}
	if a[1] == "503" && (resp.Header.Get("Retry-After") == "" || !bytes.Contains(body, []byte("not_run"))) {
		ts.Fatalf("refusal of %s: got header %v and body %s, want a time to return and not_run", a[0], resp.Header, body)
	}
	if len(a) > 2 {
		if got := strconv.Itoa(len(body) >> 10); got != a[2] {
			ts.Fatalf("body of %s: got %s KiB, want %s", a[0], got, a[2])
		}
	}
}

// cut ID: a caller of the verb open reads its response, which must break off.
func cmdCut(ts *testscript.TestScript, f *fixture, a []string) {
	c := f.open[a[0]]
	ts.Check(c.SetReadDeadline(time.Now().Add(slowWait)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		ts.Fatalf("response of %s: got error %v, want one that breaks off", a[0], err)
	}
}
