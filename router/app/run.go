package app

import (
	"context"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/wrap"

	"github.com/gofiber/fiber/v2"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/memory"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/backend"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/exchange"
	"camphorpulley.org/router/frontend"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/orders"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/setup"
	"camphorpulley.org/router/wire"
)

// Router is one router process.
type Router struct {
	settings       setup.Settings
	limits         memory.Limits
	log            *zap.Logger
	node           *node.Node
	logClient      *logservice.Client
	orders         *orders.Service
	forwarder      *exchange.Forwarder
	front          *frontend.Server
	network        *peer.Network[node.Handshake, node.Message]
	clock          worker.Scheduler
	probeWorkers   *worker.Pool[core.UpstreamID]
	suspectWorkers *worker.Pool[node.SuspectUpdate]
	// snapshotSeenAt is when a configuration snapshot was last read from the
	// log.
	snapshotSeenAt *table.Cell[time.Time]
	// instanceListRead is true once the platform's list of instances was read.
	instanceListRead atomic.Bool
}

// Run runs the router until a listener fails or the process is signalled to
// stop, and then shuts it down.
func Run(p daemon.Process, f setup.Settings) error {
	f = f.WithDefaults()
	limits := budget.Apply(memory.Machine{Bytes: int64(f.Limits.MemoryMB * (1 << 20)), Descriptors: f.Limits.Descriptors}, p.Log)
	i := newInjector(time.Now(), f, limits, p.Log)
	if _, err := do.Invoke[*metrics.Metrics](i); err != nil {
		return err
	}
	r := &Router{
		settings:       f,
		limits:         limits,
		log:            p.Log,
		node:           do.MustInvoke[*node.Node](i),
		logClient:      do.MustInvoke[*logservice.Client](i),
		orders:         do.MustInvoke[*orders.Service](i),
		forwarder:      do.MustInvoke[*exchange.Forwarder](i),
		front:          do.MustInvoke[*frontend.Server](i),
		snapshotSeenAt: table.New(table.RankSnapshots, time.Time{}),
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	return r.run(p, background, stop)
}

func (r *Router) run(p daemon.Process, background context.Context, stop func()) error {
	r.start(background)
	callers := r.front.App(r.settings.Limits.MaxBodyBytes)
	operators := r.operatorApp()
	operatorListener, err := listener.ListenBuffered(r.settings.Router.Operator, 0)
	if err != nil {
		return wrap.Err(err, "listen for operators")
	}
	failed := make(chan error, 3)
	go func() { failed <- r.network.Serve(r.settings.Router.Peer) }()
	go func() { failed <- serveOperators(operators, operatorListener) }()
	go func() { failed <- r.front.Listen(callers, r.settings.Router.Listen, r.limits.SocketBuffer) }()
	r.log.Info("router_started", zap.String("router", r.settings.Router.ID), zap.String("listen", r.settings.Router.Listen),
		zap.Uint64("incarnation", uint64(r.node.Settings().Incarnation)))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
	}
	err = r.shutdown(p, callers)
	stop()
	r.clock.Wait()
	return wrap.Err(err, "shutdown")
}

// start connects the router's parts and starts the background work: reading the
// log, appending to it, heartbeats, probes and polls.
func (r *Router) start(ctx context.Context) {
	self := r.node.Settings()
	handshake := node.Handshake{
		Router: self.ID, DataCentre: self.DataCentre, Seat: self.Seat,
		Address: self.Address, Incarnation: self.Incarnation,
	}
	r.network = peer.New(ctx, handshake, r.log, wire.PermitProtocol(), peer.Handler[node.Handshake, node.Message]{
		Receive:      func(from node.Handshake, m node.Message) { r.applyEffects(r.node.Receive(time.Now(), from, m)) },
		Disconnected: func(id core.RouterID) { r.applyEffects(r.node.ConnectionLost(id)) },
		Address:      r.addressOf,
	})
	r.network.Conns, r.network.Memory = listener.NewBound(r.limits.Peers), budget.New(r.limits.ForMessages(), r.log.Named("peers"))
	r.forwarder.ApplyEffects = r.applyEffects
	r.forwarder.Burn = r.front.Burn
	r.forwarder.AppendSuspect = func(s node.SuspectUpdate) { r.suspectWorkers.TrySubmit(s) }
	r.front.Ready = r.ready
	r.probeWorkers = worker.New(r.settings.Router.Workers, jobQueueLength, r.probe)
	r.suspectWorkers = worker.New(1, jobQueueLength, r.appendSuspect)
	r.followStreams(ctx)
	r.clock.Repeat(ctx, r.orders.AppendBatch)
	r.clock.Every(ctx, self.LeaseTiming.HeartbeatInterval(), func(context.Context) { r.applyEffects(r.node.Tick(time.Now())) })
	r.clock.Every(ctx, r.settings.Platform.PollInterval, func(context.Context) { r.pollInstances() })
	r.clock.Every(ctx, snapshotCheckInterval, func(context.Context) { r.refreshSnapshot(time.Now()) })
	r.pollInstances()
}

// jobQueueLength is the number of probes that can wait for a worker, and of
// suspect records that can wait to be appended.
const jobQueueLength = 1024

func (r *Router) addressOf(id core.RouterID) string {
	for _, m := range r.node.Routers() {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

// applyEffects carries out the effects of a decision: it sends messages,
// delivers replies, queues probes and logs a new revision.
func (r *Router) applyEffects(e node.Effects) {
	for _, o := range e.Outgoing {
		r.network.Send(o.To, o.Message)
	}
	for _, reply := range e.Replies {
		r.forwarder.DeliverReply(reply)
	}
	for _, id := range e.Probes {
		r.probeWorkers.TrySubmit(id)
	}
	if e.RevisionApplied {
		r.logRevision()
	}
}

func (r *Router) logRevision() {
	s, _, err := r.node.Configuration()
	if err != nil {
		r.log.Error("sheet_invalid", zap.Uint64("revision", uint64(s.Revision.Number)), logs.Err(err))
		return
	}
	r.log.Info("revision_applied", zap.Uint64("revision", uint64(s.Revision.Number)),
		zap.Uint64("base", uint64(s.Revision.Base)), zap.String("author", s.Revision.Author))
}

// probe reads an upstream's load report and passes the result to the node.
func (r *Router) probe(_ context.Context, id core.UpstreamID) {
	target, ok := r.forwarder.Target(id)
	if !ok {
		return
	}
	requestedAt := time.Now()
	load, err := backend.FetchLoad(target)
	if err != nil {
		r.node.ProbeFailed(time.Now(), id)
		return
	}
	age := time.Duration(load.AgeMS) * time.Millisecond
	r.applyEffects(r.node.RecordLoad(time.Now(), requestedAt, id, load.Boot, load.Running, age))
}

func (r *Router) appendSuspect(_ context.Context, s node.SuspectUpdate) {
	data, err := record.Encode(record.Suspect(s))
	if err == nil {
		_, err = r.logClient.Append(logservice.SuspectStream, data)
	}
	if err != nil {
		r.log.Warn("suspect_append_failed", logs.Err(err))
	}
}

// drainDelay is how long the router still accepts requests after it has reported
// that it isn't ready, so that load balancers notice.
const drainDelay = time.Second

// shutdown announces that the router shuts down and serves on for drainDelay.
// Then it stops accepting requests and waits for the running ones, at most for
// Limits.ShutdownTimeout or until a second signal. It logs the number of
// requests that were cut off.
func (r *Router) shutdown(p daemon.Process, callers *fiber.App) error {
	r.log.Info("shutdown_started", zap.Int64("running", r.forwarder.Running()))
	r.front.ShuttingDown.Store(true)
	r.node.BeginShutdown()
	r.applyEffects(r.node.Tick(time.Now()))
	done := make(chan error, 1)
	go func() {
		time.Sleep(drainDelay)
		err := callers.ShutdownWithTimeout(r.settings.Limits.ShutdownTimeout)
		r.forwarder.Wait()
		done <- err
	}()
	select {
	case err := <-done:
		r.log.Info("shutdown_finished", zap.Int64("cut", r.forwarder.Running()), logs.Err(err))
	case <-p.ForceStop:
		r.log.Warn("shutdown_finished", zap.Int64("cut", r.forwarder.Running()), zap.String("why", "second signal"))
	case <-time.After(r.settings.Limits.ShutdownTimeout + drainDelay):
		r.log.Warn("shutdown_finished", zap.Int64("cut", r.forwarder.Running()), zap.String("why", "deadline"))
	}
	return nil
}
