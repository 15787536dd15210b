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
	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/memory"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/httpclient"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/relay"
	"camphorpulley.org/router/wire"
)

// Router is one running router of a fleet. Run creates it.
type Router struct {
	settings Settings
	log      *zap.Logger
	adapter  Adapter
	fleet    *fleet.Fleet
	pool     *httpclient.Pool
	gateway  *gateway.Handler
	// detours handles the requests of other routers that can't reach the upstreams.
	detours   *gateway.Handler
	network   *peer.Network[fleet.Member, fleet.Message]
	metrics   *metrics.Metrics
	scheduler worker.Scheduler
	// limits are those of the machine. memory bounds what is held for callers and upstreams,
	// and callerConns and detourConns the connections.
	limits                   memory.Limits
	memory                   *budget.Pool
	callerConns, detourConns *listener.Bound
	shuttingDown             atomic.Bool
	// requests is the context of all requests. cancelRequests ends those that are still
	// running at the end of the grace period.
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// storeRestored is notified when the store has come back from an older copy.
	storeRestored signal
	// slots tell the jobs that return and grant slots what to do.
	slots slotSignals
	// lastReadiness is the fleet.Readiness at the load balancer's last check.
	lastReadiness atomic.Value
	// messagesLate is true while messages from other routers are late.
	messagesLate atomic.Bool
}

// Run starts the router, serves until p.Context is done, then shuts down
// gracefully. It returns an error if the metrics can't be registered or if one of
// the listeners fails.
func Run(p daemon.Process, s Settings, a Adapter) error {
	now := time.Now()
	limits := budget.Apply(memory.Machine{Bytes: int64(s.Limits.MemoryMB * (1 << 20)), Descriptors: s.Limits.Descriptors}, p.Log)
	p.Log = p.Log.With(zap.String("router", s.Router.ID))
	r := &Router{settings: s, log: p.Log, adapter: a, fleet: fleet.New(now, s.fleetSettings(now, a)), pool: &httpclient.Pool{}, storeRestored: newSignal(), slots: slotSignals{newSignal(), newSignal()}}
	r.limits, r.memory = limits, budget.New(limits, p.Log)
	r.callerConns, r.detourConns = listener.NewBound(limits.Callers), listener.NewBound(limits.Detours)
	r.lastReadiness.Store(fleet.Unconfigured)
	instruments, err := metrics.New(r.gauges()...)
	if err != nil {
		return err
	}
	r.metrics = instruments
	r.gateway = &gateway.Handler{
		Fleet: r.fleet, HeaderCodec: a.Incoming, Log: p.Log, Metrics: instruments, Memory: r.memory,
		Forwarder: &relay.Forwarder{
			Fleet: r.fleet, HeaderCodec: a.Outgoing, Log: p.Log, Conns: r.pool, Metrics: instruments, Identity: a.Identity, Memory: r.memory,
		},
	}
	r.detours = &gateway.Handler{Fleet: r.fleet, HeaderCodec: a.Incoming, Log: p.Log, Metrics: instruments, Memory: r.memory, Forwarder: r.gateway.Forwarder, Relayed: true}
	r.gateway.Forwarder.Notify = func(m fleet.Message) { r.send(r.fleet.Spread(time.Now(), m)) }
	r.gateway.Forwarder.Send = func(e fleet.Envelope) { r.send([]fleet.Envelope{e}) }
	r.gateway.Forwarder.ApplySlots, r.gateway.Forwarder.SlotsEnded = r.applySlots, r.slots.ended.notify
	r.gateway.CloseAfterResponse = func() bool { return r.shuttingDown.Load() || r.lastReadiness.Load() == fleet.Isolated }
	r.requests, r.cancelRequests = context.WithCancelCause(context.Background())
	defer r.cancelRequests(nil)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	return r.run(p, background, stop)
}

const (
	// headerTimeout bounds reading a request's header. It is far above any limit
	// that operators set, so that no caller within their limits is cut off.
	headerTimeout = 30 * time.Second
	// idleTimeout is how long idle caller connections are kept. It is far above
	// operators' limits for the same reason.
	idleTimeout = 10 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// run starts the background work and the listeners, waits until a listener fails or
// the process is told to stop, and in the latter case shuts down.
func (r *Router) run(p daemon.Process, background context.Context, stop func()) error {
	callers := &http.Server{
		Addr: r.settings.Router.Listen, Handler: r.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(r.log.Named("http")), BaseContext: r.requestContext,
	}
	detours := &http.Server{
		Addr: r.settings.Router.Detour, Handler: r.detours, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(r.log.Named("detours")), BaseContext: r.requestContext,
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.Handler())
	metricsMux.HandleFunc("/status", r.serveStatus)
	failed := make(chan error, 5)
	r.startBackground(background)
	go func() { failed <- r.network.Serve(r.settings.Router.Peer) }()
	go func() { failed <- listenAndServe(r.settings.Router.Ready, http.HandlerFunc(r.serveReadiness)) }()
	go func() { failed <- listenAndServe(r.settings.Router.Metrics, metricsMux) }()
	go func() { failed <- serveCallers(callers, r.callerConns, r.limits.SocketBuffer) }()
	if detours.Addr != "" {
		go func() { failed <- serveCallers(detours, r.detourConns, r.limits.SocketBuffer) }()
	}
	r.log.Info("router_started", zap.String("listen", r.settings.Router.Listen),
		zap.Uint64("incarnation", uint64(r.fleet.Settings().Incarnation)))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
	}
	r.shutdown(callers, detours)
	stop()
	return nil
}

// requestContext returns the context of the requests on a listener.
func (r *Router) requestContext(net.Listener) context.Context { return r.requests }

// serveStatus writes the router's view of the fleet as JSON, for operators.
func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.fleet.Status(time.Now())); err != nil {
		r.log.Info("status_write_failed", logs.Err(err))
	}
}

// serveReadiness answers the load balancer's check: 200 if the router should get
// connections, 503 if it can't serve or is shutting down.
func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	state := r.fleet.Readiness(time.Now())
	if old := r.lastReadiness.Swap(state); old != state {
		r.log.Info("readiness_changed", zap.Any("was", old), zap.String("is", string(state)))
	}
	if r.shuttingDown.Load() || state != fleet.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// connSweepInterval is the time between two closings of unusable idle connections to
	// upstreams.
	connSweepInterval = time.Second
	// partSweepInterval is the time between two removals of suspected parts of prompts
	// that were not used for long.
	partSweepInterval = 10 * time.Second
)

// startBackground starts the goroutines that run beside the requests: messages
// between routers, feed readers, heartbeats, closing of idle connections,
// registration and cache inventories.
func (r *Router) startBackground(ctx context.Context) {
	self := r.fleet.Settings()
	member := r.fleet.Self()
	r.network = peer.New(ctx, member, r.log, wire.FleetProtocol(), peer.Handler[fleet.Member, fleet.Message]{
		Receive: func(from fleet.Member, m fleet.Message) {
			r.handleEffects(from, r.fleet.Receive(time.Now(), from, m))
		},
		Disconnected: func(id core.RouterID) { r.log.Info("peer_lost", zap.String("peer", string(id))) },
		Address: func(id core.RouterID) string {
			m, _ := r.fleet.Member(id)
			return m.Address
		},
		Queued: func(to core.RouterID, m fleet.Message, bytes int) {
			member, _ := r.fleet.Member(to)
			r.metrics.MessageSent(m.Kind(), member.DataCentre == self.DataCentre, bytes)
		},
	})
	r.network.Conns, r.network.Memory = listener.NewBound(r.limits.Peers), budget.New(r.limits.ForMessages(), r.log.Named("peers"))
	r.startFeedReaders(ctx)
	r.startSlots(ctx)
	r.scheduler.Repeat(ctx, func(ctx context.Context) {
		messages, wait := r.fleet.Outgoing(time.Now())
		r.send(messages)
		r.logMessageDelay(time.Now())
		worker.Sleep(ctx, wait)
	})
	r.scheduler.Every(ctx, connSweepInterval, func(context.Context) {
		now := time.Now()
		r.fleet.RecordEarlyCloses(now, r.pool.CloseUnusable(now))
	})
	r.scheduler.Every(ctx, r.fleet.ProbeInterval(), r.gateway.Forwarder.Probe)
	r.scheduler.Every(ctx, partSweepInterval, func(context.Context) { logPartChanges(r.log, "", r.fleet.ExpireParts(time.Now())) })
	r.scheduler.Repeat(ctx, r.registrationStep(member))
	if !r.settings.Router.FirstStart {
		r.scheduler.Once(ctx, r.fetchCacheInventories)
	}
}

// lateMessages is the delay from which on messages from other routers count as late: what
// they say of loads is older than the requests that it counts.
const lateMessages = 500 * time.Millisecond

// logMessageDelay logs when messages from other routers begin to be late, and when that ends.
func (r *Router) logMessageDelay(now time.Time) {
	delay := r.fleet.MessageDelay(now)
	if late := delay >= lateMessages; r.messagesLate.Swap(late) != late {
		r.log.Info("messages_late_changed", zap.Bool("late", late), zap.Duration("delay", delay))
	}
}

// startFeedReaders starts the goroutines that apply the operators' and the
// upstreams' records in the store to the router's tables.
func (r *Router) startFeedReaders(ctx context.Context) {
	operators := &feedReader{
		feed: OperatorFeed, store: r.adapter.Store, fleet: r.fleet, log: r.log, pollWait: longPollWait(r.settings.Bounds.recovery()),
		restoreGrace: r.settings.Bounds.recovery(), restored: r.storeRestored.notify, eraEnded: newSignal(),
	}
	upstreams := &entryReader{
		store: r.adapter.Store, fleet: r.fleet, log: r.log, eraEnded: operators.eraEnded.notify,
		notifyPeers: func(s fleet.FeedSegment) { r.send(r.fleet.Spread(time.Now(), fleet.Message{Segment: &s})) },
	}
	if r.settings.Bounds.ExposeShare > 0 && r.adapter.Statuses != nil {
		statuses := &rolloutWriter{store: r.adapter.Statuses, fleet: r.fleet, log: r.log}
		r.scheduler.Every(ctx, rolloutTick, r.tickRollouts)
		r.scheduler.Repeat(ctx, statuses.step)
	}
	mixed := &mixedPoolWriter{store: r.adapter.MixedPools, fleet: r.fleet, log: r.log, feedRead: newSignal()}
	parts := &partRecordWriter{store: r.adapter.PartRecords, fleet: r.fleet, log: r.log, feedRead: newSignal()}
	operators.readWhole, upstreams.readWhole = func() { mixed.feedRead.notify(); parts.feedRead.notify() }, mixed.feedRead.notify
	r.scheduler.Repeat(ctx, mixed.step)
	r.scheduler.Repeat(ctx, parts.step)
	r.scheduler.Repeat(ctx, operators.step)
	r.scheduler.Repeat(ctx, upstreams.step)
}

// tickRollouts carries the roll-outs on.
func (r *Router) tickRollouts(context.Context) {
	e := r.fleet.TickRollouts(time.Now())
	r.send(e.Messages)
	for _, c := range e.Changes {
		logRolloutChange(r.log, "", c)
	}
}

// send sends messages to other routers.
func (r *Router) send(messages []fleet.Envelope) {
	for _, e := range messages {
		r.network.Send(e.To, e.Message)
	}
}

// handleEffects logs the effects of a message from another router and sends the
// reply if there is one.
func (r *Router) handleEffects(from fleet.Member, e fleet.Effects) {
	logChanges(r.log, from.ID, e.Changes)
	if e.Version > 0 {
		r.log.Info("catalog_applied", zap.Uint64("version", e.Version), zap.String("sender", string(from.ID)))
	}
	logPartChanges(r.log, from.ID, e.PartChanges)
	logStatementChanges(r.log, from.ID, e.StatementChanges)
	for _, c := range e.RolloutChanges {
		logRolloutChange(r.log, from.ID, c)
	}
	if e.QuotaFor != "" {
		r.gateway.Forwarder.QuotaResponded(e.QuotaFor)
	}
	if e.Origin != nil {
		r.gateway.Forwarder.OriginReplied(e.Origin.Stream, e.Origin.Report)
	}
	for _, fault := range e.Errors {
		r.log.Warn("message_part_invalid", zap.String("sender", string(from.ID)), logs.Err(fault))
	}
	if e.Reply != nil {
		r.network.Send(from.ID, *e.Reply)
	}
	r.applySlots(e)
}
