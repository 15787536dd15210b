package backend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"camphorpulley.org/core"
)

// anyBoot accepts all processes.
type anyBoot struct{}

func (anyBoot) ObserveBoot(core.UpstreamID, string) bool { return true }

// TestOwnConnection guards against the second run of a request that runs at most once
// (TWICE): what an upstream has left on a connection that carried other requests, a late
// refusal for example, was taken for the response to it. The upstream numbers its
// connections in its responses.
func TestOwnConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var connections atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveNumbered(conn, connections.Add(1))
		}
	}()
	c := New(anyBoot{}, time.Second)
	for i, step := range []struct {
		own  bool
		want string
	}{{false, "1"}, {false, "1"}, {true, "2"}, {true, "3"}, {false, "1"}} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + ln.Addr().String() + "/x")
		if err := c.Do(Target{ID: "u1", Address: ln.Addr().String(), OwnConnection: step.own}, req, resp); err != nil {
			t.Fatal(err)
		}
		if got := string(resp.Body()); got != step.want {
			t.Errorf("connection of request %d, own=%t: got %s, want %s", i+1, step.own, got, step.want)
		}
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}

// serveNumbered responds to each request on a connection with a number.
func serveNumbered(conn net.Conn, number int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := strconv.FormatInt(number, 10)
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)); err != nil || r.Close {
			return
		}
	}
}
