package cluster

import (
	"context"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core/fleet"
)

// registrationStep returns the body of the registration loop: it writes the
// router's record to the store, retrying until that succeeds, and then reads the
// records of the other routers once. Later it only waits: routers learn of new
// ones from their heartbeats. When the store has come back from an older copy, which
// may lack the router's record, it does both again.
func (r *Router) registrationStep(self fleet.Member) func(context.Context) {
	registered := false
	peers := &feedReader{
		feed: RouterFeed, store: r.adapter.Store, fleet: r.fleet, log: r.log,
	}
	return func(ctx context.Context) {
		if !registered {
			if err := r.adapter.Store.Register(ctx, self); err != nil {
				peers.recordFailure(err)
				worker.Sleep(ctx, maxBackoff)
				return
			}
			registered = true
		}
		if !peers.synced {
			peers.step(ctx)
			return
		}
		if r.storeRestored.wait(ctx) {
			registered, peers.synced = false, false
		}
	}
}
