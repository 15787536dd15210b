package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// longestLook is the longest time between two looks at whether the upstreams'
// entries are to be read: what other routers tell may change that.
const longestLook = 250 * time.Millisecond

// entries keeps the upstreams in step with the store. When to read is decided by
// the fleet: a few routers read and tell the others.
type entries struct {
	store Store
	fleet *fleet.Fleet
	log   *zap.Logger
	// tell sends what was read to the other routers.
	tell func(fleet.Read)

	tries int
}

// step reads once if that is due, and else waits.
func (e *entries) step(ctx context.Context) {
	if due := e.fleet.ReadDue(time.Now(), e.tries > 0); due > 0 {
		worker.Sleep(ctx, min(due, longestLook))
		return
	}
	err := e.read(ctx)
	if ctx.Err() != nil {
		return
	}
	var gap *GapError
	switch {
	case errors.As(err, &gap):
		e.fleet.Missed()
		e.log.Warn("records_dropped", zap.String("feed", Upstreams.String()), logs.Err(err))
	case err != nil:
		e.failed(ctx, err)
	case e.tries > 0:
		e.log.Info("store_recovered", zap.String("feed", Upstreams.String()), zap.Int("tries", e.tries))
		e.tries = 0
	}
}

// failed takes in a read that the store didn't answer, and waits before the next.
func (e *entries) failed(ctx context.Context, err error) {
	alone := e.fleet.ReadFailed(time.Now())
	if e.tries++; e.tries == 1 {
		e.log.Warn("store_unavailable", zap.String("feed", Upstreams.String()), zap.Bool("peer_reports", !alone), logs.Err(err))
	}
	worker.Sleep(ctx, min(firstPause<<min(e.tries-1, 8), lastPause))
}

func (e *entries) read(ctx context.Context) error {
	began := time.Now()
	next, synced := e.fleet.ReadNext()
	if !synced {
		page, err := e.store.Newest(ctx, Upstreams)
		if err != nil {
			return err
		}
		e.faults(page.Events)
		found := lo.FilterMap(page.Events, func(ev Event, _ int) (roster.Entry, bool) {
			return lo.FromPtr(ev.Entry), ev.Entry != nil
		})
		logChanges(e.log, "", e.fleet.ReadAll(time.Now(), began, page.Next, found))
		e.log.Info("feed_read", zap.String("feed", Upstreams.String()), zap.Int("records", len(page.Events)))
		return nil
	}
	page, err := e.store.Since(ctx, Upstreams, next, 0)
	if err != nil {
		return err
	}
	e.faults(page.Events)
	changes, told := e.fleet.ReadOn(time.Now(), began, fleet.Read{From: next, Next: page.Next, Records: records(next, page.Events)})
	logChanges(e.log, "", changes)
	if told != nil {
		e.tell(*told)
	}
	return nil
}

// records returns what the events from an offset on say of upstreams.
func records(from uint64, events []Event) []fleet.Record {
	all := make([]fleet.Record, 0, len(events))
	for i, ev := range events {
		r := fleet.Record{Offset: from + uint64(i), Upstream: ev.Removed, Entry: ev.Entry}
		if ev.Entry != nil {
			r.Upstream, r.Source = ev.Entry.ID, ev.Entry.Source
		}
		all = append(all, r)
	}
	return all
}

// faults logs records that can't be read.
func (e *entries) faults(events []Event) {
	for _, ev := range events {
		if ev.Fault != nil {
			e.log.Warn("record_invalid", zap.String("feed", Upstreams.String()), logs.Err(ev.Fault))
		}
	}
}

// logChanges logs changes of upstreams. Teller is the router that told of them;
// empty if they were read from the store.
func logChanges(log *zap.Logger, teller core.RouterID, changes []roster.Change) {
	for _, c := range changes {
		log.Info("upstream_changed", zap.String("upstream", string(c.ID)), zap.String("change", c.Kind), zap.String("sender", string(teller)))
	}
}
