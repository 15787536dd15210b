package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/router/relay"
)

// heardCheckInterval is the time between two looks whether the router is still heard of that
// has sent a request.
const heardCheckInterval = 100 * time.Millisecond

// whileHeard returns a context that ends once the router that has sent a request falls silent:
// its caller may have gone on elsewhere. A request that runs at most once can't go on and is
// kept.
func (h *Handler) whileHeard(ctx context.Context, call *relay.Call, sender core.RouterID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if sender == "" || !call.Route.Repeatable() {
		return ctx, cancel
	}
	h.Fleet.RecordContact(time.Now(), sender)
	if !h.heard(sender) {
		return ctx, cancel
	}
	wasHeard := true
	var looks worker.Scheduler
	looks.Every(ctx, heardCheckInterval, func(context.Context) {
		heard := h.heard(sender)
		// After a pause of this router's own, the messages that have waited are read first.
		if !heard && !wasHeard {
			h.Log.Warn("silent_router_left", zap.String("request", call.ID), zap.String("router", string(sender)))
			cancel()
		}
		wasHeard = heard
	})
	return ctx, cancel
}

// heard reports whether another router was heard of recently, and asks it if that is due.
func (h *Handler) heard(router core.RouterID) bool {
	heard, questions := h.Fleet.Heard(time.Now(), router)
	for _, q := range questions {
		if h.Forwarder.Send != nil {
			h.Forwarder.Send(q)
		}
	}
	return heard
}
