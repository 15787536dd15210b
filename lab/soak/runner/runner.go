// Package runner is a stand-in for a runner of the users' platform, an engine or
// an application, behind a proxy.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/store"
)

// Terms say what a runner is.
type Terms struct {
	ID, Pool, Zone string
	Slots          int
	// Cold is how long the runner stays cold, and ColdRate what it bears then.
	Cold     time.Duration
	ColdRate float64
}

// Grey is how a runner misbehaves while its entry is good.
type Grey int32

// The ways of a grey runner.
const (
	Sound Grey = iota
	// Failing answers 500.
	Failing
	// Losing runs requests and breaks the connection.
	Losing
	// Hanging runs requests and doesn't answer.
	Hanging
)

// String returns the word for logs.
func (g Grey) String() string { return [...]string{"sound", "failing", "losing", "hanging"}[g] }

const (
	// greyShare is the share of requests that a grey runner fails.
	greyShare = 0.4
	// workLeast and workSpan are the time that a request or a piece takes.
	workLeast = 4 * time.Millisecond
	workSpan  = 16 * time.Millisecond
	// Events is the number of events of a stream.
	Events = 12
	// heartbeat is the time between two entries.
	heartbeat = 600 * time.Millisecond
	// silentBeats is after how many missing entries one is removed.
	silentBeats = 3
	// hang is how long a hanging runner holds a request.
	hang = 5 * time.Second
)

// Runner is a running stand-in.
type Runner struct {
	Terms
	// Proxy is where routers reach the runner.
	Proxy  *proxy.Proxy
	store  *store.Store
	ledger *ledger.Ledger
	server *http.Server
	born   time.Time

	running  atomic.Int64
	grey     atomic.Int32
	mu       sync.Mutex
	left     time.Time
	draining bool
	stopped  bool
	sequence int
}

// Start starts a runner and writes its entry.
func Start(t Terms, s *store.Store, l *ledger.Ledger) (*Runner, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := proxy.New(ln.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &Runner{Terms: t, Proxy: p, store: s, ledger: l, born: time.Now()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	r.write()
	go r.beat()
	return r, nil
}

// entry is what a runner writes of itself.
type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold_left_ms"`
	Sequence int     `json:"sequence"`
	Born     int64   `json:"born"`
}

const topic = "keyed.servers"

// write writes the entry.
func (r *Runner) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	text, err := json.Marshal(entry{
		Service: r.Pool, Address: r.Proxy.Address(), Zone: r.Zone, Version: "v1", Slots: r.Slots, State: state,
		ColdLeft: float64(max(r.Cold-time.Since(r.born), 0).Milliseconds()), Sequence: r.sequence, Born: r.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	r.store.Put(topic, r.ID, text)
}

func (r *Runner) beat() {
	for !r.gone() {
		time.Sleep(heartbeat)
		r.write()
	}
}

func (r *Runner) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Grey makes the runner misbehave from now on.
func (r *Runner) Grey(g Grey) { r.grey.Store(int32(g)) }

// Drain lets the runner say that it leaves. It serves on until Stop.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining, r.left = true, time.Now()
	r.mu.Unlock()
	r.write()
}

// Remove removes the entry without notice. The runner serves on until Stop.
func (r *Runner) Remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped, r.left = true, time.Now()
	r.store.Put(topic, r.ID, nil)
}

// Stop ends a runner that has left.
func (r *Runner) Stop() {
	r.mu.Lock()
	if !r.stopped {
		r.stopped = true
		r.store.Put(topic, r.ID, nil)
	}
	r.mu.Unlock()
	r.end()
}

// Crash ends a runner without notice. Its entry is removed after a while.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.end()
	time.AfterFunc(silentBeats*heartbeat, func() { r.store.Put(topic, r.ID, nil) })
}

func (r *Runner) end() {
	r.Proxy.Close()
	_ = r.server.Close()
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/kv-list" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	}
	id := q.Header.Get("Camphorpulley-Attempt-Id")
	w.Header().Set("Camphorpulley-Attempt-Id", id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if target := q.Header.Get("Camphorpulley-Target-Instance"); target != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.running.Add(1) > int64(r.Slots) {
		r.running.Add(-1)
		w.Header().Set("Camphorpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	r.note(id, q, string(body))
	r.run(w, q, id)
}

func (r *Runner) note(id string, q *http.Request, body string) {
	now := time.Now()
	rate := 0.0
	if now.Sub(r.born) < r.Cold {
		rate = r.ColdRate
	}
	r.mu.Lock()
	left := r.left
	r.mu.Unlock()
	r.ledger.Ran(ledger.Run{
		ID: id, Runner: r.ID, Pool: r.Pool, Zone: r.Zone, Line: q.Method + " " + q.RequestURI, Body: body,
		Tenant: q.Header.Get("Camphorpulley-Tenant"), Key: q.Header.Get("Camphorpulley-Key"), At: now, Left: left, ColdRate: rate,
	})
}

func (r *Runner) run(w http.ResponseWriter, q *http.Request, id string) {
	work()
	if g := Grey(r.grey.Load()); g != Sound && rand.Float64() < greyShare {
		switch g {
		case Losing:
			panic(http.ErrAbortHandler)
		case Hanging:
			time.Sleep(hang)
			panic(http.ErrAbortHandler)
		case Failing, Sound:
		}
		w.Header().Set("Camphorpulley-Response-Signature", "failed."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Camphorpulley-Response-Signature", "sig."+id)
	w.Header().Set("Camphorpulley-Runner-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.Slots))
	if q.Header.Get("Camphorpulley-Prompt-Prefix") == "" {
		_, _ = io.WriteString(w, Plain(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= Events; n++ {
		if _, err := io.WriteString(w, Event(id, n)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		work()
	}
}

func work() { time.Sleep(workLeast + rand.N(workSpan)) }

// Plain returns the whole body of an application's answer.
func Plain(id string) string { return "answer to " + id + "\n" }

// Event returns an event of a stream, counted from one.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }
