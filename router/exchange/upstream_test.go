package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// arrivals records when requests arrived at upstreams.
type arrivals struct {
	mu     sync.Mutex
	counts map[string]int
	times  []time.Time
}

func newArrivals() *arrivals { return &arrivals{counts: map[string]int{}} }

func (a *arrivals) add(name string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[name]++
	a.times = append(a.times, at)
}

func (a *arrivals) count(name string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[name]
}

// after returns when the first request arrived after a time, or false if none did.
func (a *arrivals) after(at time.Time) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.times {
		if t.After(at) {
			return t, true
		}
	}
	return time.Time{}, false
}

// step is a part of a response: bytes, a wait, or work until the connection is closed.
type step struct {
	data string
	wait time.Duration
	hang bool
	// closes is true if the upstream closes the connection, resets if it resets it.
	closes, resets bool
	// next is true if the steps after it wait for the next request on the connection, and
	// come ahead of the response to it.
	next bool
}

// end is when a request on which an upstream hung arrived, and when the router left it.
type end struct {
	arrivedAt, at time.Time
}

// scriptedUpstream responds to requests with steps that were set before. It serves load
// reports.
type scriptedUpstream struct {
	name     string
	listener net.Listener
	arrivals *arrivals
	left     chan end
	mu       sync.Mutex
	script   [][]step
	// afterLoad holds the steps after each load report.
	afterLoad []step
}

func newScriptedUpstream(name string, a *arrivals) (*scriptedUpstream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &scriptedUpstream{name: name, listener: ln, arrivals: a, left: make(chan end, 16)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u, nil
}

func (u *scriptedUpstream) respondWith(steps []step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = append(u.script, steps)
}

func (u *scriptedUpstream) respondToLoadsWith(steps []step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.afterLoad = steps
}

func (u *scriptedUpstream) stepsAfterLoad() []step {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.afterLoad)
}

func (u *scriptedUpstream) nextSteps() []step {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.script) == 0 {
		return []step{{hang: true}}
	}
	steps := u.script[0]
	u.script = u.script[1:]
	return steps
}

const loadReport = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"boot\":\"b\"}"

func (u *scriptedUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []step
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/load" {
			if _, err := io.WriteString(conn, loadReport); err != nil {
				return
			}
			late = u.stepsAfterLoad()
			continue
		}
		at := time.Now()
		u.arrivals.add(u.name, at)
		steps, open := append(late, u.nextSteps()...), false
		if late, open = u.respond(conn, reader, steps, r.Header.Get("X-Request-Id"), at); !open || r.Close {
			return
		}
	}
}

// resetDelay is the wait before a connection is reset, so that the bytes before have arrived.
const resetDelay = 20 * time.Millisecond

// respond carries out the steps of one response, and returns those that wait for the next
// request, which bear the id of this one. Open is false if the connection ended.
func (u *scriptedUpstream) respond(conn net.Conn, reader *bufio.Reader, steps []step, id string, at time.Time) (late []step, open bool) {
	for i, s := range steps {
		switch {
		case s.next:
			for _, l := range steps[i+1:] {
				l.data = strings.ReplaceAll(l.data, "$ID", id)
				late = append(late, l)
			}
			return late, true
		case s.closes:
			return nil, false
		case s.resets:
			time.Sleep(resetDelay)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return nil, false
		case s.hang:
			_, _ = io.Copy(io.Discard, reader)
			u.left <- end{arrivedAt: at, at: time.Now()}
			return nil, false
		case s.data != "":
			if _, err := io.WriteString(conn, strings.ReplaceAll(s.data, "$ID", id)); err != nil {
				return nil, false
			}
		}
		time.Sleep(s.wait)
	}
	return nil, true
}
