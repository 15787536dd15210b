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

// maxReadCheckInterval bounds the time between two checks whether a read of the
// upstreams' entries is due: messages from other routers may change that.
const maxReadCheckInterval = 250 * time.Millisecond

// entryReader reads the upstreams' entries from the store and applies them to
// the fleet's tables. The fleet decides when to read: a few routers read and send
// the changes to the others.
type entryReader struct {
	store Store
	fleet *fleet.Fleet
	log   *zap.Logger
	// notifyPeers sends a segment, the records of a read, to the other routers.
	notifyPeers func(fleet.FeedSegment)
	// eraEnded is called when the store has come back from an older copy; it may be nil.
	eraEnded func()
	// readWhole is called when all entries were read; it may be nil.
	readWhole func()

	// era is that of the store at the last read; zero if it states none.
	era uint64
	// failedReads counts the failed reads since the last successful one.
	failedReads int
}

// step reads once if a read is due, and otherwise waits.
func (e *entryReader) step(ctx context.Context) {
	if due := e.fleet.NextReadIn(time.Now(), e.failedReads > 0); due > 0 {
		worker.Sleep(ctx, min(due, maxReadCheckInterval))
		return
	}
	err := e.read(ctx)
	if ctx.Err() != nil {
		return
	}
	var gap *GapError
	switch {
	case errors.As(err, &gap):
		e.fleet.MarkRecordsMissed()
		e.log.Warn("records_dropped", zap.String("feed", UpstreamFeed.String()), logs.Err(err))
	case err != nil:
		e.handleFailure(ctx, err)
	case e.failedReads > 0:
		e.log.Info("store_recovered", zap.String("feed", UpstreamFeed.String()), zap.Int("tries", e.failedReads))
		e.failedReads = 0
	}
}

// handleFailure records a failed read, logs the first one in a row, and waits
// before the next.
func (e *entryReader) handleFailure(ctx context.Context, err error) {
	stale := e.fleet.RecordReadFailure(time.Now())
	if e.failedReads++; e.failedReads == 1 {
		e.log.Warn("store_unavailable", zap.String("feed", UpstreamFeed.String()), zap.Bool("peer_reports", !stale), logs.Err(err))
	}
	worker.Sleep(ctx, min(initialBackoff<<min(e.failedReads-1, 8), maxBackoff))
}

// read reads all entries if the router has none or has missed some, and
// otherwise those after the last read, and applies them.
func (e *entryReader) read(ctx context.Context) error {
	startedAt := time.Now()
	next, synced := e.fleet.ReadOffset()
	if !synced {
		page, err := e.store.Newest(ctx, UpstreamFeed)
		if err != nil {
			return err
		}
		e.recordEra(page.Era, page.Next)
		e.logInvalid(page.Events)
		found := lo.FilterMap(page.Events, func(ev Event, _ int) (roster.Entry, bool) {
			return lo.FromPtr(ev.Entry), ev.Entry != nil
		})
		invalid := lo.FilterMap(page.Events, func(ev Event, _ int) (core.UpstreamID, bool) {
			return ev.InvalidUpstream, ev.InvalidUpstream != ""
		})
		logChanges(e.log, "", e.fleet.ApplyFullRead(time.Now(), startedAt, page.Era, page.Next, found, invalid...))
		e.log.Info("feed_read", zap.String("feed", UpstreamFeed.String()), zap.Int("records", len(page.Events)))
		if e.readWhole != nil {
			e.readWhole()
		}
		return nil
	}
	page, err := e.store.Since(ctx, UpstreamFeed, next, 0)
	if err != nil {
		return err
	}
	e.recordEra(page.Era, next)
	e.logInvalid(page.Events)
	changes, segment := e.fleet.ApplyRead(time.Now(), startedAt, fleet.FeedSegment{Era: page.Era, From: next, Next: page.Next, Records: toRecords(next, page.Events)})
	logChanges(e.log, "", changes)
	if segment != nil {
		e.notifyPeers(*segment)
	}
	return nil
}

// recordEra records the era of the store, and logs a new one. Next is the offset of the
// first record that was read.
func (e *entryReader) recordEra(era, next uint64) {
	if era <= e.era {
		return
	}
	if e.era != 0 {
		e.log.Warn("store_restored", zap.String("feed", UpstreamFeed.String()), zap.Uint64("was", e.era), zap.Uint64("era", era), zap.Uint64("next", next))
		if e.eraEnded != nil {
			e.eraEnded()
		}
	}
	e.era = era
}

// toRecords converts consecutive events of the upstreams' feed to fleet records, without
// those that can't be parsed. From is the offset of the first event.
func toRecords(from uint64, events []Event) []fleet.Record {
	all := make([]fleet.Record, 0, len(events))
	for i, ev := range events {
		if ev.InvalidUpstream != "" {
			continue
		}
		r := fleet.Record{Offset: from + uint64(i), Upstream: ev.RemovedUpstream, Entry: ev.Entry}
		if ev.Entry != nil {
			r.Upstream, r.Source = ev.Entry.ID, ev.Entry.Source
		}
		all = append(all, r)
	}
	return all
}

// logInvalid logs the records that could not be parsed.
func (e *entryReader) logInvalid(events []Event) {
	for _, ev := range events {
		if ev.Err != nil {
			e.log.Warn("record_invalid", zap.String("feed", UpstreamFeed.String()), logs.Err(ev.Err))
		}
	}
}

// logChanges logs changes of upstreams. Sender is the router that reported them;
// empty if they were read from the store.
func logChanges(log *zap.Logger, sender core.RouterID, changes []roster.Change) {
	for _, c := range changes {
		log.Info("upstream_changed", zap.String("upstream", string(c.ID)), zap.String("change", c.Kind), zap.String("release", c.Release), zap.String("sender", string(sender)))
	}
}
