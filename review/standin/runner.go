package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runnerConfig describes a runner.
type runnerConfig struct {
	id, service, zone, version string
	slots                      int
	// events is the number of events of a stream, eventTime the time for each.
	events    int
	eventTime time.Duration
	// workTime is how long a request without a prompt takes.
	workTime time.Duration
	// pauseAfter is the event after which the runner preempts a stream for pauseTime, as
	// it does when its memory has run out; zero if it doesn't.
	pauseAfter int
	pauseTime  time.Duration
	// inventory answers a query of the cache in place of the runner; nil for an empty list.
	inventory func(http.ResponseWriter)
	// early is true if the runner answers long requests before it has read them.
	early bool
	// readAfter is how long it then takes until it reads the body of a request for a stream.
	readAfter time.Duration
}

// runner is a stand-in for a runner. It writes its own entry to the store.
type runner struct {
	runnerConfig
	store   *store
	log     *recorder
	address string

	mu       sync.Mutex
	version  string
	born     time.Time
	sequence int
	ended    bool
	server   *http.Server
	// taken holds the connections that the server has handed over to a handler.
	taken   []net.Conn
	running atomic.Int64
}

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

func startRunner(c runnerConfig, ip string, s *store, log *recorder) (*runner, error) {
	ln, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	r := &runner{runnerConfig: c, store: s, log: log, address: ln.Addr().String(), version: c.version}
	r.serve(ln)
	go func() {
		for {
			time.Sleep(heartbeat)
			r.writeEntry()
		}
	}()
	return r, nil
}

const (
	// segmentBytes is the largest TCP segment that a runner takes, as on Ethernet, and
	// receiveBytes the size that it asks for its receive buffers. With those of loopback, a
	// caller's socket takes in megabytes before a runner reads any of them.
	segmentBytes = 1460
	receiveBytes = 16 << 10
)

// listen opens a listener with the buffers of a usual network.
func listen(address string) (net.Listener, error) {
	set := func(fd uintptr) error {
		if err := syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes); err != nil {
			return err
		}
		return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	}
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) { optionErr = set(fd) }); err != nil {
			return err
		}
		return optionErr
	}}
	return c.Listen(context.Background(), "tcp4", address)
}

// serve begins a process of the runner on a listener.
func (r *runner) serve(ln net.Listener) {
	r.mu.Lock()
	r.born, r.sequence, r.ended = time.Now(), 0, false
	r.server = &http.Server{Handler: &process{runner: r, version: r.version}}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	r.writeEntry()
}

// restart ends the process of the runner and begins another one, of a version, under the same
// id and address after a time.
func (r *runner) restart(down time.Duration, version string) error {
	r.mu.Lock()
	r.ended = true
	server, taken := r.server, r.taken
	r.taken = nil
	r.mu.Unlock()
	_ = server.Close()
	for _, c := range taken {
		_ = c.Close()
	}
	r.log.event("runner %s ended", r.id)
	time.Sleep(down)
	ln, err := listen(r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	r.log.event("runner %s started again, version %s", r.id, version)
	r.serve(ln)
	return nil
}

func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.sequence++
	text, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	r.store.put("keyed.servers", r.id, text)
}

// keep remembers a connection that the end of the process closes. It returns false if the process
// has ended.
func (r *runner) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = append(r.taken, c)
	return !r.ended
}

// process is one process of a runner. Its version doesn't change.
type process struct {
	*runner
	version string
}

// ServeHTTP implements http.Handler.
func (p *process) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/kv-list":
		p.log.event("runner %s queried for its cache", p.id)
		if p.inventory != nil {
			p.inventory(w)
			return
		}
		writeJSON(w, map[string]any{"epoch": p.born.UnixMilli(), "next": 0, "held": []any{}})
		return
	case "/health":
		w.Header().Set("Camphorpulley-Runner-Id", p.id)
		return
	}
	id := q.Header.Get("Camphorpulley-Attempt-Id")
	w.Header().Set("Camphorpulley-Attempt-Id", id)
	if p.early && q.ContentLength >= longBody {
		p.log.run(id, p.id, p.version, q.Method, q.RequestURI, int(q.ContentLength))
		if q.Header.Get("Camphorpulley-Prompt-Prefix") != "" {
			p.streamEarly(w, id)
			return
		}
		p.answerEarly(w, id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if target := q.Header.Get("Camphorpulley-Target-Instance"); target != "" && target != p.id {
		w.Header().Set("Camphorpulley-Runner-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.running.Add(1) > int64(p.slots) {
		p.running.Add(-1)
		w.Header().Set("Camphorpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.running.Add(-1)
	p.log.run(id, p.id, p.version, q.Method, q.RequestURI, len(body))
	w.Header().Set("Camphorpulley-Response-Signature", "sig."+id)
	w.Header().Set("Camphorpulley-Runner-Load", fmt.Sprintf("%d,0,%d", p.running.Load(), p.slots))
	if q.Header.Get("Camphorpulley-Prompt-Prefix") == "" {
		time.Sleep(p.workTime)
		_, _ = io.WriteString(w, plainBody(id))
		p.log.answered(id, p.id)
		return
	}
	p.stream(w, q, id)
}

// plainBody is the body of an answer without events.
func plainBody(id string) string { return "answer to " + id + "\n" }

// stream sends the events of a stream after the one that the caller has, as they are made.
func (p *process) stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	for n := after + 1; n <= p.events; n++ {
		pause := p.eventTime
		if p.pauseAfter > 0 && n == p.pauseAfter+1 {
			pause = p.pauseTime
		}
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			p.log.event("runner %s: request %s was abandoned before event %d", p.id, id, n)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d by %s version %s\n\n", n, n, p.id, p.version); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
	p.log.answered(id, p.id)
}
