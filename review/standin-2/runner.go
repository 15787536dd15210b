package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a sound runner of the platform. It answers requests on routes of applications with a
// body, and those with a prompt with a stream of events.
type runner struct {
	store                      *store
	record                     *record
	id, service, zone, version string
	slots                      int
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration
	// work is how long a request of an application takes.
	work   time.Duration
	engine bool
	// deadly records requests with a part that crashes engines; nil if there is none.
	deadly *deadlyLog
	// works records the runs of streams; nil doesn't.
	works *workLog
	// down is true once the runner crashes.
	down    atomic.Bool
	address string
	bornMS  int64

	mu       sync.Mutex
	sequence int
	silent   bool
	server   *http.Server
	listener net.Listener
	running  atomic.Int64
	stopped  chan struct{}
}

// heartbeat is the time between two writes of an entry.
const heartbeat = 1200 * time.Millisecond

// start starts the runner at an address, or at a free port if only the host is given, and writes
// its entry until it is silenced.
func (r *runner) start(address string) {
	ln, err := net.Listen("tcp4", address)
	for until := time.Now().Add(time.Second); err != nil && time.Now().Before(until); ln, err = net.Listen("tcp4", address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		unable(err)
	}
	r.address, r.bornMS, r.stopped = ln.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	r.server, r.listener = &http.Server{Handler: r}, ln
	go func() { _ = r.server.Serve(ln) }()
	r.beat()
	go func() {
		for {
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
}

// beat writes the entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.sequence++
	text, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": r.sequence, "born": r.bornMS,
	})
	r.store.put("keyed.servers", r.id, text)
}

// remove removes the entry. The runner serves on.
func (r *runner) remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	r.store.put("keyed.servers", r.id, nil)
}

// crash ends the runner without notice: its connections close and its entry stays.
func (r *runner) crash() {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	close(r.stopped)
	_ = r.server.Close()
}

// refuse makes the runner refuse new connections. Those that are open live on.
func (r *runner) refuse() { _ = r.listener.Close() }

// admit ends refuse.
func (r *runner) admit() {
	ln, err := net.Listen("tcp4", r.address)
	if err != nil {
		unable(err)
	}
	r.listener = ln
	go func() { _ = r.server.Serve(ln) }()
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/report":
		writeJSON(w, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"queued": 0, "running": r.running.Load(), "kv_used": 0, "kv_total": engineTokens, "handles": 0, "born": r.bornMS,
		})
		return
	case "/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next": 0, "held": []any{}, "born": r.bornMS})
		return
	case "/health":
		w.Header().Set("Camphorpulley-Runner-Id", r.id)
		return
	}
	id := q.Header.Get("Camphorpulley-Attempt-Id")
	w.Header().Set("Camphorpulley-Attempt-Id", id)
	if target := q.Header.Get("Camphorpulley-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("Camphorpulley-Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	if r.engine {
		w.Header().Set("Camphorpulley-Runner-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	}
	if int(running) > r.slots {
		w.Header().Set("Camphorpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.record.printf("run %s at %s version %s, after event %q", id, r.id, r.version, q.Header.Get("Last-Event-Id"))
	w.Header().Set("Camphorpulley-Response-Signature", "s."+r.id+"."+id)
	if r.deadly != nil && isDeadly(q) {
		r.deadly.arrived(r, id)
		if r.down.Load() {
			panic(http.ErrAbortHandler)
		}
	}
	if !r.engine {
		pause(q.Context(), r.work)
		_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, id)
		return
	}
	r.stream(w, q, id)
}

// isDeadly reports whether a request crashes the runner that begins to run it.
func isDeadly(q *http.Request) bool {
	return q.URL.Path == deadlyPath || strings.Contains(q.Header.Get("Camphorpulley-Prompt-Prefix"), deadlyPart)
}

// stream sends the events of a stream after the last one that the client has. Each states the
// version that wrote it.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if r.works != nil {
		run := r.works.begin(id, r.id)
		defer r.works.end(run)
	}
	if strings.HasSuffix(q.URL.Path, "short") {
		last = max(last, r.events-3)
	}
	for n := last + 1; n <= r.events; n++ {
		pause(q.Context(), r.gap)
		if q.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d %s\n\n", n, r.version, n, r.id); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
