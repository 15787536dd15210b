package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

const (
	// longPoll is how long one read of the operators' records waits for a new
	// one. With the time-out of the call, a connection that has gone silent is
	// found within the 3 s after which a router must be up to date again.
	longPoll = 2 * time.Second
	// longerPoll takes its place once manyRouters are known: the first one to read
	// a configuration tells the others.
	longerPoll  = 4 * time.Second
	manyRouters = 8
	// firstPause and lastPause bound the time between tries while the store is
	// away: the first is a few round trips, the last leaves most of the second in
	// which a router must be up to date again.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// follower keeps one feed in step with the store.
type follower struct {
	feed  Feed
	store Store
	fleet *fleet.Fleet
	log   *zap.Logger
	// wait returns how long a read waits.
	wait func(now time.Time) time.Duration

	next   uint64
	synced bool
	tries  int
	out    map[core.DataCentre]bool
}

// step reads once.
func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	if ctx.Err() != nil {
		return
	}
	var gap *GapError
	switch {
	case errors.As(err, &gap):
		f.synced = false
		f.log.Warn("records_dropped", zap.String("feed", f.feed.String()), logs.Err(err))
	case err != nil:
		f.lost(err)
		worker.Sleep(ctx, min(firstPause<<min(f.tries-1, 8), lastPause))
	default:
		f.regained()
	}
}

func (f *follower) read(ctx context.Context) error {
	if !f.synced {
		page, err := f.store.Newest(ctx, f.feed)
		if err != nil {
			return err
		}
		f.replace(time.Now(), page.Events)
		f.next, f.synced = page.Next, true
		return nil
	}
	wait := f.wait(time.Now())
	if f.tries > 0 {
		// The first read after a failure shows when the store is back.
		wait = 0
	}
	page, err := f.store.Since(ctx, f.feed, f.next, wait)
	if err != nil {
		return err
	}
	for _, e := range page.Events {
		f.apply(time.Now(), e)
	}
	f.next = page.Next
	return nil
}

func (f *follower) lost(err error) {
	if f.tries++; f.tries == 1 {
		f.log.Warn("store_unavailable", zap.String("feed", f.feed.String()), zap.Uint64("next", f.next), logs.Err(err))
	}
}

func (f *follower) regained() {
	if f.tries == 0 {
		return
	}
	f.log.Info("store_recovered", zap.String("feed", f.feed.String()), zap.Uint64("next", f.next), zap.Int("tries", f.tries))
	f.tries = 0
}

// replace takes in all that the store holds.
func (f *follower) replace(now time.Time, events []Event) {
	f.out = map[core.DataCentre]bool{}
	for _, e := range events {
		f.apply(now, e)
	}
	switch f.feed {
	case Operators:
		f.fleet.Out(now, f.out)
	case Routers:
		f.fleet.Listed()
	}
	f.log.Info("feed_read", zap.String("feed", f.feed.String()), zap.Int("records", len(events)))
}

// apply takes in one record.
func (f *follower) apply(now time.Time, e Event) {
	switch {
	case e.Fault != nil:
		f.log.Warn("record_invalid", zap.String("feed", f.feed.String()), logs.Err(e.Fault))
	case e.Catalog != nil:
		if f.fleet.Configure(e.Catalog) {
			f.log.Info("catalog_applied", zap.Uint64("version", e.Catalog.Version), zap.Int("routes", len(e.Catalog.Routes)),
				zap.Int("keys", len(e.Catalog.Keys)))
		}
	case e.Out != "":
		f.out[e.Out] = true
		f.centres(now, e.Out, "out")
	case e.In != "":
		delete(f.out, e.In)
		f.centres(now, e.In, "in")
	case e.Member != nil:
		f.fleet.Meet(now, *e.Member)
	}
}

func (f *follower) centres(now time.Time, dc core.DataCentre, what string) {
	out := make(map[core.DataCentre]bool, len(f.out))
	for name := range f.out {
		out[name] = true
	}
	f.fleet.Out(now, out)
	f.log.Info("datacentre_changed", zap.String("datacentre", string(dc)), zap.String("service", what))
}

// never is the wait of a feed that has none.
func never(time.Time) time.Duration { return 0 }

// patiently returns a wait that is longer in larger fleets.
func patiently(f *fleet.Fleet) func(time.Time) time.Duration {
	return func(now time.Time) time.Duration {
		if len(f.Members(now)) >= manyRouters {
			return longerPoll
		}
		return longPoll
	}
}
