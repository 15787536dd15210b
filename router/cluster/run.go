package cluster

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/conn"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/relay"
	"camphorpulley.org/router/wire"
)

// Router is a running router of a fleet.
type Router struct {
	file    File
	log     *zap.Logger
	adapter Adapter
	fleet   *fleet.Fleet
	pool    *conn.Pool
	gateway *gateway.Handler
	network *peer.Network[fleet.Member, fleet.Message]
	clock   worker.Clock
	leaving atomic.Bool
	// readiness is what the balancer was told last.
	readiness atomic.Value
}

// Run runs the router until the process is told to stop.
func Run(p daemon.Process, f File, a Adapter) error {
	now := time.Now()
	p.Log = p.Log.With(zap.String("router", f.Router.ID))
	r := &Router{file: f, log: p.Log, adapter: a, fleet: fleet.New(now, f.fleetSettings(now, a)), pool: &conn.Pool{}}
	r.readiness.Store(fleet.Unconfigured)
	count, err := metrics.New(r.gauges()...)
	if err != nil {
		return err
	}
	r.gateway = &gateway.Handler{
		Fleet: r.fleet, Dialect: a.Incoming, Log: p.Log, Metrics: count,
		Forwarder: &relay.Forwarder{Fleet: r.fleet, Dialect: a.Outgoing, Log: p.Log, Conns: r.pool, Metrics: count},
	}
	r.gateway.CloseAfterResponse = func() bool { return r.leaving.Load() || r.readiness.Load() == fleet.Isolated }
	background, stop := context.WithCancel(context.Background())
	defer stop()
	return r.run(p, background, stop)
}

// gauges returns what the metrics show of the router's state.
func (r *Router) gauges() []metrics.Gauge {
	return []metrics.Gauge{
		{Name: "catalog_version", Description: "version of the configuration in force", Read: func() int64 {
			return int64(r.fleet.Version())
		}},
		{Name: "routers_known", Description: "routers that may exist", Read: func() int64 {
			return int64(len(r.fleet.Members(time.Now())) + 1)
		}},
		{Name: "log_lines_left_out", Description: "log lines over the budget of their kind", Read: logs.Left},
	}
}

const (
	// headerTimeout bounds the reading of a request's head: far above any limit
	// that operators set, so that no caller that keeps to theirs is cut off.
	headerTimeout = 30 * time.Second
	// idleTimeout is how long idle connections of callers are kept, for the same
	// reason.
	idleTimeout = 10 * time.Minute
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
)

func (r *Router) run(p daemon.Process, background context.Context, stop func()) error {
	callers := &http.Server{
		Addr: r.file.Router.Listen, Handler: r.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes, ErrorLog: zap.NewStdLog(r.log.Named("http")),
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.Handler())
	metricsMux.HandleFunc("/status", r.status)
	failed := make(chan error, 4)
	r.start(background)
	go func() { failed <- r.network.Serve(r.file.Router.Peer) }()
	go func() { failed <- listen(r.file.Router.Ready, http.HandlerFunc(r.ready)) }()
	go func() { failed <- listen(r.file.Router.Metrics, metricsMux) }()
	go func() { failed <- listenWith(callers) }()
	r.log.Info("router_started", zap.String("listen", r.file.Router.Listen),
		zap.Uint64("incarnation", uint64(r.fleet.Self().Incarnation)))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
	}
	r.shutdown(callers)
	stop()
	return nil
}

// listen serves until the process ends.
func listen(address string, h http.Handler) error {
	return listenWith(&http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout})
}

func listenWith(s *http.Server) error {
	ln, err := net.Listen("tcp4", s.Addr)
	if err != nil {
		return wrap.Err(err, s.Addr)
	}
	return s.Serve(ln)
}

// status tells operators what the router believes.
func (r *Router) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.fleet.Status(time.Now())); err != nil {
		r.log.Info("status_write_failed", logs.Err(err))
	}
}

// ready answers the balancer.
func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	state := r.fleet.Ready(time.Now())
	if old := r.readiness.Swap(state); old != state {
		r.log.Info("readiness_changed", zap.Any("was", old), zap.String("is", string(state)))
	}
	if r.leaving.Load() || state != fleet.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// leastBeat is the shortest time between two beats, and beatPart what each
	// router adds to it, so that the bytes of a router's beats don't grow with
	// the fleet.
	leastBeat = 200 * time.Millisecond
	beatPart  = 30 * time.Millisecond
	// sweepEvery is the time between two looks for old idle connections.
	sweepEvery = time.Second
)

// start begins the work that goes on beside requests.
func (r *Router) start(ctx context.Context) {
	self := r.fleet.Self()
	member := fleet.Member{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre, Incarnation: self.Incarnation}
	r.network = peer.New(ctx, member, r.log, wire.Fleet(), peer.Handler[fleet.Member, fleet.Message]{
		Receive: func(from fleet.Member, m fleet.Message) {
			r.received(from, r.fleet.Receive(time.Now(), from, m))
		},
		Lost: func(id core.RouterID) { r.log.Info("peer_lost", zap.String("peer", string(id))) },
		Address: func(id core.RouterID) string {
			m, _ := r.fleet.Member(id)
			return m.Address
		},
	})
	r.follow(ctx)
	r.clock.Loop(ctx, func(ctx context.Context) {
		members := r.fleet.Members(time.Now())
		worker.Sleep(ctx, max(leastBeat, beatPart*time.Duration(len(members))))
		beat := r.fleet.Beat(time.Now())
		r.tell(fleet.Message{Beat: &beat})
	})
	r.clock.Every(ctx, sweepEvery, func(context.Context) { r.pool.CloseExpired(time.Now()) })
	r.clock.Loop(ctx, r.announce(member))
	if !r.file.Router.First {
		go r.survey(ctx)
	}
}

// follow keeps the tables in step with the store.
func (r *Router) follow(ctx context.Context) {
	operators := &follower{
		feed: Operators, store: r.adapter.Store, fleet: r.fleet, log: r.log, wait: patiently(r.fleet),
	}
	upstreams := &entries{
		store: r.adapter.Store, fleet: r.fleet, log: r.log,
		tell: func(read fleet.Read) { r.tell(fleet.Message{Read: &read}) },
	}
	r.clock.Loop(ctx, operators.step)
	r.clock.Loop(ctx, upstreams.step)
}

// tell sends a message to all other routers.
func (r *Router) tell(m fleet.Message) {
	for _, peer := range r.fleet.Members(time.Now()) {
		r.network.Send(peer.ID, m)
	}
}

// received logs what a message has changed, and answers it.
func (r *Router) received(from fleet.Member, e fleet.Effects) {
	logChanges(r.log, from.ID, e.Changes)
	if e.Version > 0 {
		r.log.Info("catalog_applied", zap.Uint64("version", e.Version), zap.String("sender", string(from.ID)))
	}
	for _, fault := range e.Faults {
		r.log.Warn("message_part_invalid", zap.String("sender", string(from.ID)), logs.Err(fault))
	}
	if e.Reply != nil {
		r.network.Send(from.ID, *e.Reply)
	}
}

// announce returns the steps that make the router known: it writes that it
// exists and reads who else does. The others learn of it from its beats.
func (r *Router) announce(self fleet.Member) func(context.Context) {
	known := false
	peers := &follower{
		feed: Routers, store: r.adapter.Store, fleet: r.fleet, log: r.log, wait: never,
	}
	return func(ctx context.Context) {
		if !known {
			if err := r.adapter.Store.Announce(ctx, self); err != nil {
				peers.lost(err)
				worker.Sleep(ctx, lastPause)
				return
			}
			known = true
		}
		if !peers.synced {
			peers.step(ctx)
			return
		}
		<-ctx.Done()
	}
}

const (
	// notice is how long the balancer needs to see that the router is leaving:
	// two misses of a check each second, and one second more.
	notice = 3 * time.Second
	// settle is how long requests that are being read have before idle connections
	// are closed: the server takes a connection for idle until it has read the
	// head of a request.
	settle = 200 * time.Millisecond
	// lastMargin is left of the grace for the process to end.
	lastMargin = 400 * time.Millisecond
)

// shutdown finishes what is in hand. New connections are taken until the
// balancer has seen that the router is leaving; callers' connections close after
// their next answer.
func (r *Router) shutdown(callers *http.Server) {
	begun := time.Now()
	r.leaving.Store(true)
	r.log.Info("shutdown_started", zap.Int64("running", r.gateway.ActiveRequests.Load()))
	grace := time.Duration(r.file.Bounds.Grace*float64(time.Second)) - lastMargin
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace))
	defer cancel()
	if err := r.adapter.Store.Withdraw(ctx, r.fleet.Self().ID); err != nil {
		r.log.Warn("deregistration_failed", logs.Err(err))
	}
	worker.Sleep(ctx, min(notice, grace/2)-time.Since(begun))
	r.gateway.Closing.Store(true)
	worker.Sleep(ctx, settle)
	err := callers.Shutdown(ctx)
	r.log.Info("shutdown_finished", zap.Int64("cut", r.gateway.ActiveRequests.Load()), zap.Duration("took", time.Since(begun)), logs.Err(err))
}
