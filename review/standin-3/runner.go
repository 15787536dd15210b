package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerID        = "Camphorpulley-Attempt-Id"
	headerTarget    = "Camphorpulley-Target-Instance"
	headerSignature = "Camphorpulley-Response-Signature"
	headerNotRun    = "Camphorpulley-Not-Executed"
	headerRunnerID  = "Camphorpulley-Runner-Id"

	// beat is heartbeat_ms of the settings.
	beat = 1200 * time.Millisecond
	// workTime is how long a request runs.
	workTime = 30 * time.Millisecond
	// events is the number of events of a stream, eventGap the time between two.
	events   = 12
	eventGap = 20 * time.Millisecond
	// deadlyPath is the end of the path of requests that crash the runner that begins to run them,
	// and deadlyPart a part of prompts that crashes each runner that begins to write an answer on it.
	deadlyPath = "/deadly"
	deadlyPart = "dead:200"
)

// run is a request that a runner has begun to run.
type run struct {
	at     time.Time
	id     string
	runner string
	path   string
	deadly bool
}

// kind is what the runners of a service have in common.
type kind struct {
	service      string
	slots, queue int
	// restartTime is how long a runner is away that has crashed.
	restartTime time.Duration
}

// runner is a stand-in for an application or a model engine. It crashes when it begins to run a deadly request: its
// listener and its connections end with a reset, and it is back under its id and address.
type runner struct {
	kind
	id, zone, addr string
	store          *store
	// ran is called when a request begins to run.
	ran func(run)

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	born     int64
	sequence int
	alive    bool
	running  chan struct{}
	waiting  int
}

func startRunner(k kind, id, zone string, s *store, ran func(run)) (*runner, error) {
	a, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	r := &runner{kind: k, id: id, zone: zone, addr: a[0], store: s, ran: ran}
	return r, r.start()
}

func (r *runner) start() error {
	ln, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.conns, r.born, r.sequence, r.alive = map[net.Conn]bool{}, time.Now().UnixMilli(), 0, true
	r.running, r.waiting = make(chan struct{}, r.slots), 0
	r.server = &http.Server{Handler: r, ConnState: r.track}
	server, born := r.server, r.born
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go func() {
		for r.writeEntry(born) {
			time.Sleep(beat)
		}
	}()
	return nil
}

func (r *runner) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// writeEntry writes the entry of the process that started at a time; false once it has ended.
func (r *runner) writeEntry(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive || r.born != born {
		return false
	}
	r.sequence++
	text, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.store.put("keyed.servers", -1, record{key: r.id, value: text})
	return true
}

// crash ends the process: nothing more is sent, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.alive {
		r.mu.Unlock()
		return
	}
	r.alive = false
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(r.restartTime, func() {
		if err := r.start(); err != nil {
			fmt.Println("runner", r.id, "isn't back:", err)
		}
	})
}

// place takes a place of the runner; false if it is full.
func (r *runner) place(q *http.Request) (release func(), ok bool) {
	r.mu.Lock()
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return nil, false
	}
	r.waiting++
	running := r.running
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case running <- struct{}{}:
		return func() { <-running }, true
	case <-q.Context().Done():
		return nil, false
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerID)
	if q.URL.Path == "/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"born": r.born, "running": len(r.running)})
		return
	}
	if q.URL.Path == "/kv-list" {
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set(headerRunnerID, r.id)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set(headerID, id)
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get(headerTarget) != r.id {
		w.Header().Set(headerRunnerID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	release, ok := r.place(q)
	if !ok {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	prompt := q.Header.Get("Camphorpulley-Prompt-Prefix")
	deadly := strings.HasSuffix(q.URL.Path, deadlyPath) || strings.Contains(prompt, deadlyPart)
	r.ran(run{at: time.Now(), id: id, runner: r.id, path: q.URL.Path, deadly: deadly})
	if deadly {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if !pause(q, workTime) {
		return
	}
	w.Header().Set(headerSignature, "sig."+id)
	if prompt != "" {
		stream(w, q, id)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// pause waits; false if the connection ends before.
func pause(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

// stream writes the events of a stream.
func stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events && pause(q, eventGap); n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
