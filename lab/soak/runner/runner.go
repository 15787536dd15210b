// Package runner is a stand-in for a runner of the users' platform, a model
// engine or an application. Routers reach it through a proxy.
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

// Config is the configuration of a runner.
type Config struct {
	ID, Pool, Zone string
	// Release is the software release that the runner states in its entry, and in each event
	// of a stream.
	Release string
	// Slots is the number of requests that the runner accepts at a time.
	Slots int
	// ColdTime is how long the runner is cold after its start, ColdRate its
	// capacity in requests per second during that time.
	ColdTime time.Duration
	ColdRate float64
}

// Mode is how a runner handles requests, while its entry in the store remains
// that of a healthy runner.
type Mode int32

// The modes of a runner. All but Healthy affect only a share of its requests.
const (
	Healthy Mode = iota
	// Failing responds with status 500.
	Failing
	// Dropping runs requests and closes the connection without a response.
	Dropping
	// Hanging runs requests, doesn't respond, and later closes the connection.
	Hanging
	// Shedding turns requests away.
	Shedding
)

// String returns the name of the mode for logs.
func (m Mode) String() string {
	return [...]string{"healthy", "failing", "dropping", "hanging", "shedding"}[m]
}

const (
	// degradedShare is the share of requests that fail in a mode other than
	// Healthy.
	degradedShare = 0.4
	// A request, and each event of a stream, takes between minWorkTime and
	// minWorkTime plus workTimeRange.
	minWorkTime   = 4 * time.Millisecond
	workTimeRange = 16 * time.Millisecond
	// Events is the number of events of a stream.
	Events = 12
	// heartbeatInterval is the time between two writes of a runner's entry.
	heartbeatInterval = 600 * time.Millisecond
	// missedHeartbeats is the number of heartbeats missing after which the entry
	// of a crashed runner is removed.
	missedHeartbeats = 3
	// hangTime is how long a request hangs in the mode Hanging.
	hangTime = 5 * time.Second
)

// Runner is a running stand-in.
type Runner struct {
	Config
	// Proxy is the proxy through which routers reach the runner.
	Proxy     *proxy.Proxy
	store     *store.Store
	ledger    *ledger.Ledger
	server    *http.Server
	startedAt time.Time

	running atomic.Int64
	mode    atomic.Int32
	// limit is the limit that the runner names, in thousandths of a request per second;
	// zero for none.
	limit atomic.Int64
	// mu guards the fields below.
	mu          sync.Mutex
	withdrawnAt time.Time
	draining    bool
	// heartbeatsStopped is true once the runner no longer writes its entry.
	heartbeatsStopped bool
	sequence          int
}

// Start starts a runner and its proxy, writes its entry to the store and renews
// the entry by heartbeats.
func Start(c Config, s *store.Store, l *ledger.Ledger) (*Runner, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := proxy.New(ln.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &Runner{Config: c, Proxy: p, store: s, ledger: l, startedAt: time.Now()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	r.writeEntry()
	go r.sendHeartbeats()
	return r, nil
}

// entry is the entry of a runner in the store.
type entry struct {
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMS float64 `json:"cold_left_ms"`
	Sequence        int     `json:"sequence"`
	StartedAtMS     int64   `json:"born"`
}

// entryTopic is the store's topic of runner entries.
const entryTopic = "keyed.servers"

// writeEntry writes the runner's entry, unless its heartbeats have stopped.
func (r *Runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsStopped {
		return
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	text, err := json.Marshal(entry{
		Service: r.Pool, Address: r.Proxy.Address(), Zone: r.Zone, Version: r.Release, Slots: r.Slots, State: state,
		ColdRemainingMS: float64(max(r.ColdTime-time.Since(r.startedAt), 0).Milliseconds()), Sequence: r.sequence, StartedAtMS: r.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	r.store.Put(entryTopic, r.ID, text)
}

func (r *Runner) sendHeartbeats() {
	for !r.hasStoppedHeartbeats() {
		time.Sleep(heartbeatInterval)
		r.writeEntry()
	}
}

func (r *Runner) hasStoppedHeartbeats() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeatsStopped
}

// SetMode sets how the runner handles requests from now on.
func (r *Runner) SetMode(m Mode) { r.mode.Store(int32(m)) }

// SetLimit sets the limit in requests per second that the runner names in its responses;
// zero for none.
func (r *Runner) SetLimit(perSecond float64) {
	r.ledger.SetLimit(time.Now(), r.ID, perSecond)
	r.limit.Store(int64(perSecond * 1000))
}

// Drain writes the runner's entry as draining. The runner serves until Stop.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining, r.withdrawnAt = true, time.Now()
	r.mu.Unlock()
	r.writeEntry()
}

// Remove removes the runner's entry without draining it first. The runner serves
// until Stop.
func (r *Runner) Remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatsStopped, r.withdrawnAt = true, time.Now()
	r.store.Put(entryTopic, r.ID, nil)
}

// Stop removes the runner's entry, if it is still there, and closes the server.
// It ends a runner after Drain or Remove.
func (r *Runner) Stop() {
	r.mu.Lock()
	if !r.heartbeatsStopped {
		r.heartbeatsStopped = true
		r.store.Put(entryTopic, r.ID, nil)
	}
	r.mu.Unlock()
	r.close()
}

// Crash closes the server without notice. The runner's entry is removed after
// missedHeartbeats intervals.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.heartbeatsStopped = true
	r.mu.Unlock()
	r.close()
	time.AfterFunc(missedHeartbeats*heartbeatInterval, func() { r.store.Put(entryTopic, r.ID, nil) })
}

func (r *Runner) close() {
	r.Proxy.Close()
	_ = r.server.Close()
}

// ServeHTTP implements http.Handler. It responds to cache inventory queries with an
// empty inventory, refuses requests that are addressed to another instance or
// exceed the slots, and records and runs all others.
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
	r.ledger.RecordArrival(time.Now(), r.ID, id)
	if r.isDraining() {
		w.Header().Set("Server-Leaving", "1")
		defer func() { r.ledger.RecordLeavingTold(time.Now(), r.ID, id) }()
	}
	if limit := r.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(float64(limit)/1000, 'f', -1, 64))
		defer func() { r.ledger.RecordLimitTold(time.Now(), r.ID, id) }()
	}
	if r.running.Add(1) > int64(r.Slots) {
		r.running.Add(-1)
		r.turnAway(w, id)
		return
	}
	defer r.running.Add(-1)
	if Mode(r.mode.Load()) == Shedding && rand.Float64() < degradedShare {
		r.turnAway(w, id)
		return
	}
	r.recordRun(id, q, string(body))
	r.respond(w, q, id)
}

// turnAwayTime is for how long a runner that is full, or sheds, turns a router away.
const turnAwayTime = 1500 * time.Millisecond

// turnAway responds that the request has not run, and when the router may come back.
func (r *Runner) turnAway(w http.ResponseWriter, id string) {
	w.Header().Set("Camphorpulley-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(turnAwayTime.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	r.ledger.RecordTurnedAway(time.Now(), r.ID, id, turnAwayTime)
}

func (r *Runner) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// recordRun records in the ledger that the runner starts to run a request.
func (r *Runner) recordRun(id string, q *http.Request, body string) {
	now := time.Now()
	rate := 0.0
	if now.Sub(r.startedAt) < r.ColdTime {
		rate = r.ColdRate
	}
	r.mu.Lock()
	withdrawnAt := r.withdrawnAt
	r.mu.Unlock()
	r.ledger.RecordRun(ledger.Run{
		ID: id, Runner: r.ID, Pool: r.Pool, Zone: r.Zone, Line: q.Method + " " + q.RequestURI, Body: body,
		Tenant: q.Header.Get("Camphorpulley-Tenant"), Key: q.Header.Get("Camphorpulley-Key"), At: now, WithdrawnAt: withdrawnAt, ColdRate: rate,
	})
}

// respond simulates the work of a request, then fails as the mode requires or
// sends the response: a stream of events if the request has a prompt, else a
// plain body. A stream continues after the event in Last-Event-Id, if given.
func (r *Runner) respond(w http.ResponseWriter, q *http.Request, id string) {
	simulateWork()
	if m := Mode(r.mode.Load()); m != Healthy && m != Shedding && rand.Float64() < degradedShare {
		switch m {
		case Dropping:
			panic(http.ErrAbortHandler)
		case Hanging:
			time.Sleep(hangTime)
			panic(http.ErrAbortHandler)
		default:
		}
		w.Header().Set("Camphorpulley-Response-Signature", "failed."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Camphorpulley-Response-Signature", "sig."+id)
	w.Header().Set("Camphorpulley-Runner-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.Slots))
	if q.Header.Get("Camphorpulley-Prompt-Prefix") == "" {
		_, _ = io.WriteString(w, PlainBody(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= Events; n++ {
		if _, err := io.WriteString(w, Event(id, n, r.Release)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		simulateWork()
	}
}

func simulateWork() { time.Sleep(minWorkTime + rand.N(workTimeRange)) }

// PlainBody returns the complete body of an application's response to a request.
func PlainBody(id string) string { return "answer to " + id + "\n" }

// Event returns the text of event n of a request's stream, counted from one, by a runner of a
// release.
func Event(id string, n int, release string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, release)
}
