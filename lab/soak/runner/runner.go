// Package runner is a stand-in for a runner of the users' platform, a model
// engine or an application. Routers reach it through a proxy.
package runner

import (
	"encoding/json"
	"net"
	"net/http"
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
	// Bad is how the runner's release handles requests, from BadAt on; Healthy for a good one.
	Bad   Mode
	BadAt time.Time
	// Slots is the number of requests that the runner accepts at a time.
	Slots int
	// Quiet is true if answers don't state the load.
	Quiet bool
	// ColdTime is how long the runner is cold after its start, ColdRate its
	// capacity in requests per second during that time.
	ColdTime time.Duration
	ColdRate float64
	// EntryDelay is how long after its start the runner writes its first entry.
	EntryDelay time.Duration
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
	// Hanging runs requests, doesn't respond or stops in the middle of a stream, and later
	// closes the connection.
	Hanging
	// Shedding turns requests away.
	Shedding
	// Slow begins its responses slowTime later.
	Slow
	// Cutting closes connections in the middle of an event of a stream.
	Cutting
)

// String returns the name of the mode for logs.
func (m Mode) String() string {
	return [...]string{"healthy", "failing", "dropping", "hanging", "shedding", "slow", "cutting"}[m]
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
	Events = 24
	// heartbeatInterval is the time between two writes of a runner's entry.
	heartbeatInterval = 600 * time.Millisecond
	// missedHeartbeats is the number of heartbeats missing after which the entry
	// of a crashed runner is removed.
	missedHeartbeats = 3
	// hangTime is how long a request hangs in the mode Hanging, and stallShare the share of the
	// streams among them that stop in the middle.
	hangTime   = 5 * time.Second
	stallShare = 0.5
	// slowTime is longer than routers wait before they try another runner, and
	// ledger.OverlapLimit.
	slowTime = 1200 * time.Millisecond
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
	p, err := proxy.New("")
	if err != nil {
		return nil, err
	}
	return StartAt(c, p, s, l)
}

// StartAt starts a runner as Start does, at the address of the proxy of one that was
// terminated.
func StartAt(c Config, p *proxy.Proxy, s *store.Store, l *ledger.Ledger) (*Runner, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{Config: c, Proxy: p, store: s, ledger: l, startedAt: time.Now()}
	r.server = &http.Server{Handler: r, ConnContext: withConn}
	go func() { _ = r.server.Serve(listener{Listener: ln, runner: r}) }()
	p.SetTarget(ln.Addr().String())
	if c.EntryDelay == 0 {
		r.writeEntry()
	}
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
	if r.EntryDelay > 0 {
		time.Sleep(r.EntryDelay)
		r.writeEntry()
	}
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

// currentMode returns how the runner handles a request, and whether its release is the reason.
func (r *Runner) currentMode() (m Mode, release bool) {
	if r.Bad != Healthy && time.Now().After(r.BadAt) {
		return r.Bad, true
	}
	return Mode(r.mode.Load()), false
}

// Running returns the number of requests at the runner.
func (r *Runner) Running() int64 { return r.running.Load() }

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

// Crash ends the runner without notice. Its entry is removed after missedHeartbeats
// intervals.
func (r *Runner) Crash() {
	r.Terminate()
	r.Proxy.Close()
}

// Terminate ends the runner as Crash does, but keeps its address for StartAt.
func (r *Runner) Terminate() {
	r.Kill()
	time.AfterFunc(missedHeartbeats*heartbeatInterval, func() { r.store.Put(entryTopic, r.ID, nil) })
}

// Kill ends the runner without notice, but keeps its address for StartAt and its entry, which that of
// the next process under its id replaces.
func (r *Runner) Kill() {
	r.mu.Lock()
	r.heartbeatsStopped = true
	r.mu.Unlock()
	r.Proxy.SetTarget("")
	_ = r.server.Close()
}

func (r *Runner) close() {
	r.Proxy.Close()
	_ = r.server.Close()
}
