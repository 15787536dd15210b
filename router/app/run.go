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
	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/back"
	"camphorpulley.org/router/exchange"
	"camphorpulley.org/router/front"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/orders"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/setup"
	"camphorpulley.org/router/wire"
)

// Router is the running router.
type Router struct {
	file     setup.File
	log      *zap.Logger
	node     *node.Node
	client   *logservice.Client
	desk     *orders.Service
	exchange *exchange.Forwarder
	front    *front.Server
	network  *peer.Network[node.Hello, node.Message]
	clock    worker.Clock
	probes   *worker.Pool[core.UpstreamID]
	suspects *worker.Pool[node.Suspect]
	// snapshot is when a snapshot of the configuration was last seen in the log.
	snapshot *table.Cell[time.Time]
	// listed is set once the list of instances was read.
	listed atomic.Bool
}

// Run runs the router until the process is told to stop.
func Run(p daemon.Process, f setup.File) error {
	f = f.WithDefaults()
	i := register(time.Now(), f, p.Log)
	if _, err := do.Invoke[*metrics.Metrics](i); err != nil {
		return err
	}
	r := &Router{
		file:     f,
		log:      p.Log,
		node:     do.MustInvoke[*node.Node](i),
		client:   do.MustInvoke[*logservice.Client](i),
		desk:     do.MustInvoke[*orders.Service](i),
		exchange: do.MustInvoke[*exchange.Forwarder](i),
		front:    do.MustInvoke[*front.Server](i),
		snapshot: table.New(table.RankSnapshots, time.Time{}),
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	return r.run(p, background, stop)
}

func (r *Router) run(p daemon.Process, background context.Context, stop func()) error {
	r.start(background)
	callers := r.front.App(r.file.Limits.Body)
	operators := r.operatorApp()
	failed := make(chan error, 3)
	go func() { failed <- r.network.Serve(r.file.Router.Peer) }()
	go func() { failed <- operators.Listen(r.file.Router.Operator) }()
	go func() { failed <- callers.Listen(r.file.Router.Listen) }()
	r.log.Info("router_started", zap.String("router", r.file.Router.ID), zap.String("listen", r.file.Router.Listen),
		zap.Uint64("incarnation", uint64(r.node.Self().Incarnation)))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
	}
	err := r.shutdown(p, callers)
	stop()
	r.clock.Wait()
	return wrap.Err(err, "shutdown")
}

// start begins the work that goes on beside requests.
func (r *Router) start(ctx context.Context) {
	self := r.node.Self()
	hello := node.Hello{
		Router: self.ID, DataCentre: self.DataCentre, Seat: self.Seat,
		Address: self.Address, Incarnation: self.Incarnation,
	}
	r.network = peer.New(ctx, hello, r.log, wire.Peers(), peer.Handler[node.Hello, node.Message]{
		Receive: func(from node.Hello, m node.Message) { r.carry(r.node.Receive(time.Now(), from, m)) },
		Lost:    func(id core.RouterID) { r.carry(r.node.Lost(id)) },
		Address: r.addressOf,
	})
	r.exchange.ApplyEffects = r.carry
	r.exchange.Burn = r.front.Burn
	r.exchange.AppendSuspect = func(s node.Suspect) { r.suspects.Try(s) }
	r.front.Ready = r.ready
	r.probes = worker.New(r.file.Router.Workers, probeQueue, r.probe)
	r.suspects = worker.New(1, probeQueue, r.appendSuspect)
	r.follow(ctx)
	r.clock.Loop(ctx, r.desk.AppendBatch)
	r.clock.Every(ctx, self.Lease.Beat(), func(context.Context) { r.carry(r.node.Tick(time.Now())) })
	r.clock.Every(ctx, r.file.Platform.Poll, func(context.Context) { r.pollList() })
	r.clock.Every(ctx, snapshotCheck, func(context.Context) { r.copySnapshot(time.Now()) })
	r.pollList()
}

// probeQueue is the number of probes that wait.
const probeQueue = 1024

func (r *Router) addressOf(id core.RouterID) string {
	for _, m := range r.node.Routers() {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

// carry does what a decision asks for.
func (r *Router) carry(e node.Effects) {
	for _, o := range e.Out {
		r.network.Send(o.To, o.Message)
	}
	for _, reply := range e.Replies {
		r.exchange.DeliverReply(reply)
	}
	for _, id := range e.Probes {
		r.probes.Try(id)
	}
	if e.InForce {
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

// probe reads an upstream's load report.
func (r *Router) probe(_ context.Context, id core.UpstreamID) {
	target, ok := r.exchange.Target(id)
	if !ok {
		return
	}
	asked := time.Now()
	load, err := back.FetchLoad(target)
	if err != nil {
		r.node.Unreachable(time.Now(), id)
		return
	}
	age := time.Duration(load.AgeMS) * time.Millisecond
	r.carry(r.node.Reported(time.Now(), asked, id, load.Boot, load.Running, age))
}

func (r *Router) appendSuspect(_ context.Context, s node.Suspect) {
	data, err := record.Encode(record.Suspect(s))
	if err == nil {
		_, err = r.client.Append(logservice.SuspectStream, data)
	}
	if err != nil {
		r.log.Warn("suspect_append_failed", logs.Err(err))
	}
}

// leaveDelay is the time for the balancer to see that the router is leaving.
const leaveDelay = time.Second

// shutdown finishes what is in flight. A second signal or the deadline ends
// it, and what was cut off is logged.
func (r *Router) shutdown(p daemon.Process, callers *fiber.App) error {
	r.log.Info("shutdown_started", zap.Int64("running", r.exchange.Running()))
	r.front.ShuttingDown.Store(true)
	r.node.Leave()
	r.carry(r.node.Tick(time.Now()))
	done := make(chan error, 1)
	go func() {
		time.Sleep(leaveDelay)
		err := callers.ShutdownWithTimeout(r.file.Limits.Shutdown)
		r.exchange.Wait()
		done <- err
	}()
	select {
	case err := <-done:
		r.log.Info("shutdown_finished", zap.Int64("cut", r.exchange.Running()), logs.Err(err))
	case <-p.Again:
		r.log.Warn("shutdown_finished", zap.Int64("cut", r.exchange.Running()), zap.String("why", "second signal"))
	case <-time.After(r.file.Limits.Shutdown + leaveDelay):
		r.log.Warn("shutdown_finished", zap.Int64("cut", r.exchange.Running()), zap.String("why", "deadline"))
	}
	return nil
}
