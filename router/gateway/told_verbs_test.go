package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/router/gateway"
)

// leaveTime is within which an upstream must learn that its request has gone on at another one
// (TWICE).
const leaveTime = 400 * time.Millisecond

// told UPSTREAM NEXT [COUNT]: checks that the first connection of an upstream was closed at
// most leaveTime after the next one had received COUNT requests, by default one.
func cmdTold(ts *testscript.TestScript, f *fixture, a []string) {
	count := 1
	if len(a) > 2 {
		var err error
		count, err = strconv.Atoi(a[2])
		ts.Check(err)
	}
	next := f.upstreams[a[1]]
	next.mu.Lock()
	times := next.receivedAt
	next.mu.Unlock()
	if len(times) < count {
		ts.Fatalf("requests received by %s: got %d, want %d", a[1], len(times), count)
	}
	checkTold(ts, a[0], f.upstreams[a[0]], times[count-1])
}

// checkTold checks that the first connection of an upstream was closed at most leaveTime after
// a moment.
func checkTold(ts *testscript.TestScript, name string, u *upstream, since time.Time) {
	for {
		u.mu.Lock()
		closed := u.closedAt
		u.mu.Unlock()
		now := time.Now()
		if len(closed) > 0 {
			now = closed[0]
		}
		switch took := now.Sub(since); {
		case took > leaveTime:
			ts.Fatalf("end of the request at %s: got none within %s, want one", name, leaveTime)
		case len(closed) > 0:
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitReset waits until the connection is reset, and reads nothing.
func awaitReset(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for cause := 0; cause == 0; time.Sleep(time.Millisecond) {
		if err := raw.Control(func(fd uintptr) {
			cause, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		}); err != nil {
			return
		}
	}
}

// stop-in DURATION: the router ends its requests after a time, as at the end of a planned stop.
func cmdStopIn(ts *testscript.TestScript, f *fixture, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	time.AfterFunc(d, func() {
		f.stoppedAt.Store(time.Now())
		f.stop(&gateway.StoppingError{})
	})
}

// told-stop UPSTREAM: checks that the first connection of an upstream was closed at most
// leaveTime after the router had begun to end its requests.
func cmdToldStop(ts *testscript.TestScript, f *fixture, a []string) {
	since, ok := f.stoppedAt.Load().(time.Time)
	if !ok {
		ts.Fatalf("end of the requests: got none, want one")
	}
	checkTold(ts, a[0], f.upstreams[a[0]], since)
}

// leave ROUTE METHOD ID UPSTREAM close|half-close|extra|pipelined|long|chunked|expect: sends a
// caller's request that is answered by none, and leaves once the upstream has it. The upstream
// must be told. A caller that half-closes reads on and must not get a whole success; one that
// sends extra bytes or a whole request more does so before it leaves. Bodies are short by
// default.
func cmdLeave(ts *testscript.TestScript, f *fixture, a []string) {
	c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	ts.Check(err)
	defer func() { _ = c.Close() }()
	head := a[1] + " /x HTTP/1.1\r\nHost: " + a[0] + "\r\nX-Id: " + a[2] + "\r\n"
	request := head + "Content-Length: 5\r\n\r\nhello"
	switch a[4] {
	case "long":
		request = head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000)
	case "chunked":
		request = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	case "expect":
		request = strings.Replace(request, "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1)
	case "pipelined":
		request += request
	}
	_, err = io.WriteString(c, request)
	ts.Check(err)
	u := f.upstreams[a[3]]
	u.awaitRequest(ts)
	if a[4] == "extra" {
		_, err = io.WriteString(c, "\r\n")
		ts.Check(err)
		time.Sleep(bodyPause)
	}
	since := time.Now()
	if a[4] != "half-close" {
		_ = c.Close()
		checkTold(ts, a[3], u, since)
		return
	}
	ts.Check(c.(*net.TCPConn).CloseWrite())
	ts.Check(c.SetReadDeadline(since.Add(closeWait)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil && resp.StatusCode < http.StatusMultipleChoices {
		ts.Fatalf("answer to a caller that has closed its direction: got a whole one with status %d, want none or a failure", resp.StatusCode)
	}
	checkTold(ts, a[3], u, since)
}

// pipeline ROUTE METHOD ID: sends a request twice, the second time while the upstream works on
// the first one, and keeps both bodies together.
func cmdPipeline(ts *testscript.TestScript, f *fixture, a []string) {
	c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	ts.Check(err)
	defer func() { _ = c.Close() }()
	ts.Check(c.SetDeadline(time.Now().Add(routeTimeout)))
	request := a[1] + " /x HTTP/1.1\r\nHost: " + a[0] + "\r\nX-Id: " + a[2] + "\r\nContent-Length: 5\r\n\r\nhello"
	reader := bufio.NewReader(c)
	for range 2 {
		_, err = io.WriteString(c, request)
		ts.Check(err)
		time.Sleep(bodyPause)
	}
	f.body = nil
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		ts.Check(err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ts.Check(err)
		f.body = append(f.body, body...)
	}
}

// awaitRequest waits until the upstream has received a request.
func (u *upstream) awaitRequest(ts *testscript.TestScript) {
	for deadline := time.Now().Add(closeWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		u.mu.Lock()
		n := len(u.receivedAt)
		u.mu.Unlock()
		if n > 0 {
			return
		}
	}
	ts.Fatalf("requests received by the upstream after %s: got none, want one", closeWait)
}
