package cluster

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/router/gateway"
)

const (
	// balancerDelay is how long the load balancer needs to notice that the router
	// is shutting down: two failed checks, one each second, and one second more.
	balancerDelay = 3 * time.Second
	// headerReadDelay is how long requests whose header is being read have before
	// idle connections are closed: http.Server counts a connection as idle until it
	// has read the whole header.
	headerReadDelay = 200 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to
	// exit.
	exitMargin = 400 * time.Millisecond
	// answerTime is the part of exitMargin in which requests that are still running are
	// answered, with an unknown outcome.
	answerTime = 150 * time.Millisecond
)

// shutdown deregisters the router and finishes the running requests within the
// grace period. It accepts new connections until the load balancer has noticed
// the shutdown; each caller's connection closes after its next response.
func (r *Router) shutdown(callers, detours *http.Server) {
	startedAt := time.Now()
	r.shuttingDown.Store(true)
	// Other routers can send their requests elsewhere at once.
	r.detours.Closing.Store(true)
	r.log.Info("shutdown_started", zap.Int64("running", r.gateway.ActiveRequests.Load()))
	grace := time.Duration(r.settings.Bounds.GraceSeconds*float64(time.Second)) - exitMargin
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace))
	defer cancel()
	if err := r.adapter.Store.Deregister(ctx, r.fleet.Settings().ID); err != nil {
		r.log.Warn("deregistration_failed", logs.Err(err))
	}
	worker.Sleep(ctx, min(balancerDelay, grace/2)-time.Since(startedAt))
	r.gateway.Closing.Store(true)
	worker.Sleep(ctx, headerReadDelay)
	err := callers.Shutdown(ctx)
	if detoursErr := detours.Shutdown(ctx); err == nil {
		err = detoursErr
	}
	if err != nil {
		r.endRequests(callers, detours)
	}
	r.log.Info("shutdown_finished", zap.Int64("cut", r.gateway.ActiveRequests.Load()+r.detours.ActiveRequests.Load()), zap.Duration("took", time.Since(startedAt)), logs.Err(err))
}

// endRequests answers the requests that are still running: a caller that gets no answer would
// not know sooner that there won't be one.
func (r *Router) endRequests(callers, detours *http.Server) {
	r.cancelRequests(&gateway.StoppingError{})
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	for _, s := range []*http.Server{callers, detours} {
		if err := s.Shutdown(ctx); err != nil {
			r.log.Warn("requests_unanswered", zap.String("address", s.Addr), logs.Err(err))
		}
	}
}
