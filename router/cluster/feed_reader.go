package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/fleet"
)

const (
	// initialBackoff and maxBackoff bound the time between retries while the store
	// is unavailable. initialBackoff is a few round trips; maxBackoff is less than
	// the 1 s in which a router must be up to date again.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// feedReader reads the operators' or the routers' feed from the store and applies
// its records to the fleet's tables. An entryReader reads the upstreams' feed.
type feedReader struct {
	feed  Feed
	store Store
	fleet *fleet.Fleet
	log   *zap.Logger
	// pollWait is how long the store may hold a read until a record arrives.
	pollWait time.Duration

	// next is the offset of the next record to read.
	next uint64
	// era is that of the store when next was read; zero if it states none.
	era uint64
	// synced is true once the whole feed was read, until there is a gap.
	synced bool
	// failedCalls counts the failed calls to the store, reads and registrations,
	// since the last successful read, which was at readAt.
	failedCalls int
	readAt      time.Time
	// outOfService holds the data centres that operators have taken out of service.
	outOfService map[core.DataCentre]bool
	// restoreGrace is how long after the store has come back from an older copy what it
	// lacks may still be written again. Until confirmAt, data centres stay out of service
	// that the copy has in service; then the whole feed is read once more. confirmAt is
	// zero if nothing waits for that.
	restoreGrace time.Duration
	confirmAt    time.Time
	// restored is called when the store has come back from an older copy; it may be nil.
	restored func()
	// eraEnded is notified when the reader of another feed has learned that: a read that the
	// store holds waits for an offset that says nothing any more. It may be nil.
	eraEnded signal
	// readWhole is called when the whole feed was read; it may be nil.
	readWhole func()
	// overtaken is true once a read was left to the store because of another router, until the
	// next one is answered.
	overtaken bool
}

// eraError reports a response of the store that belongs to an earlier era than the one
// that is known.
type eraError struct {
	Got, Known uint64
}

// Error implements error.
func (e *eraError) Error() string {
	return fmt.Sprintf("response of the store's era %d, which has ended; era %d is known", e.Got, e.Known)
}

// step reads once. After a gap in the feed, the next step reads the whole feed;
// after a failure, step waits.
func (f *feedReader) step(ctx context.Context) {
	err := f.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if f.feed == OperatorFeed {
		f.fleet.RecordCatalogRead(err == nil)
	}
	var gap *GapError
	switch {
	case errors.As(err, &gap):
		f.synced = false
		f.log.Warn("records_dropped", zap.String("feed", f.feed.String()), logs.Err(err))
	case err != nil:
		f.recordFailure(err)
		worker.Sleep(ctx, min(initialBackoff<<min(f.failedCalls-1, 8), maxBackoff))
	default:
		f.recordSuccess()
	}
}

// read reads the whole feed if the reader has a gap or has read nothing, and
// otherwise the records from the next offset on, and applies them.
func (f *feedReader) read(ctx context.Context) error {
	now := time.Now()
	if !f.confirmAt.IsZero() && now.After(f.confirmAt) {
		f.synced, f.confirmAt = false, time.Time{}
	}
	if !f.synced {
		page, err := f.store.Newest(ctx, f.feed)
		if err != nil {
			return err
		}
		if _, err := f.recordEra(time.Now(), page.Era); err != nil {
			return err
		}
		f.applySnapshot(time.Now(), page)
		f.synced = true
		f.advance(page.Next)
		if f.readWhole != nil {
			f.readWhole()
		}
		return nil
	}
	page, end, err := f.poll(ctx, f.nextWait(now))
	if err != nil {
		return err
	}
	switch end {
	case pollEraEnded:
		f.synced = false
		return nil
	case pollOvertaken:
		f.overtaken = true
		return nil
	case pollAnswered:
	}
	f.overtaken = false
	isNew, err := f.recordEra(time.Now(), page.Era)
	if err != nil {
		return err
	}
	if isNew {
		// The offset belongs to the history that the store has lost.
		f.synced = false
		return nil
	}
	for _, e := range page.Events {
		if e.Order != nil || e.WithdrawnOrder != nil {
			f.applyFreshOrder(time.Now(), e)
			continue
		}
		f.apply(time.Now(), e)
	}
	f.advance(page.Next)
	return nil
}

// advance records that the feed was read up to an offset.
func (f *feedReader) advance(next uint64) {
	f.next = next
	if f.feed == OperatorFeed {
		f.fleet.RecordOperatorPosition(time.Now(), feed.Position{Era: f.era, Next: next})
	}
}

// recordEra records the era of a response, and reports whether it is a new one: the store
// has come back from an older copy. It returns an *eraError if the era has ended.
func (f *feedReader) recordEra(now time.Time, era uint64) (isNew bool, err error) {
	known := f.era
	if era == 0 || era == known {
		return false, nil
	}
	if era < known {
		return false, &eraError{Got: era, Known: known}
	}
	if f.era = era; known == 0 {
		return false, nil
	}
	f.log.Warn("store_restored", zap.String("feed", f.feed.String()), zap.Uint64("was", known), zap.Uint64("era", era), zap.Uint64("next", f.next))
	f.confirmAt = now.Add(f.restoreGrace)
	if f.feed == OperatorFeed {
		f.fleet.RecheckStatuses(now)
		f.fleet.RecheckMixedPools()
		f.fleet.RecheckPartRecord()
	}
	if f.restored != nil {
		f.restored()
	}
	return true, nil
}

// recordFailure counts a failed call and logs the first one in a row.
func (f *feedReader) recordFailure(err error) {
	f.fleet.RecordStoreCall(time.Now(), false)
	if f.failedCalls++; f.failedCalls == 1 {
		f.log.Warn("store_unavailable", zap.String("feed", f.feed.String()), zap.Uint64("next", f.next), logs.Err(err))
	}
}

// recordSuccess logs the first successful read after failures.
func (f *feedReader) recordSuccess() {
	f.readAt = time.Now()
	if f.failedCalls == 0 {
		return
	}
	f.fleet.RecordStoreCall(f.readAt, true)
	f.log.Info("store_recovered", zap.String("feed", f.feed.String()), zap.Uint64("next", f.next), zap.Int("tries", f.failedCalls))
	f.failedCalls = 0
}

// applySnapshot applies the newest record of each key and forgets the data centres
// that were out of service before, unless an older copy of the store may lack them.
func (f *feedReader) applySnapshot(now time.Time, page Page) {
	if f.confirmAt.IsZero() || f.outOfService == nil {
		f.outOfService = map[core.DataCentre]bool{}
	}
	// Before the rest: with the configuration, the router begins to serve.
	f.applyOrders(now, page)
	for _, e := range page.Events {
		f.apply(now, e)
	}
	switch f.feed {
	case OperatorFeed:
		f.fleet.SetOutOfService(now, f.outOfService)
	case RouterFeed:
		f.fleet.MarkMembersListed()
	}
	f.log.Info("feed_read", zap.String("feed", f.feed.String()), zap.Int("records", len(page.Events)))
}

// apply applies one record to the fleet's tables, or logs it if it is invalid.
func (f *feedReader) apply(now time.Time, e Event) {
	switch {
	case e.Err != nil:
		f.log.Warn("record_invalid", zap.String("feed", f.feed.String()), logs.Err(e.Err))
	case e.Catalog != nil:
		if f.fleet.ApplyCatalog(now, e.Catalog) {
			f.log.Info("catalog_applied", zap.Uint64("version", e.Catalog.Version), zap.Int("routes", len(e.Catalog.Routes)),
				zap.Int("keys", len(e.Catalog.Keys)))
		}
	case e.OutOfService != "":
		f.outOfService[e.OutOfService] = true
		f.updateOutOfService(now, e.OutOfService, "out")
	case e.BackInService != "":
		delete(f.outOfService, e.BackInService)
		f.updateOutOfService(now, e.BackInService, "in")
	case e.Member != nil:
		f.fleet.AddMember(now, *e.Member)
	}
}

// updateOutOfService passes the set of data centres out of service to the fleet
// and logs the one that changed.
func (f *feedReader) updateOutOfService(now time.Time, dc core.DataCentre, state string) {
	out := make(map[core.DataCentre]bool, len(f.outOfService))
	for name := range f.outOfService {
		out[name] = true
	}
	f.fleet.SetOutOfService(now, out)
	f.log.Info("datacentre_changed", zap.String("datacentre", string(dc)), zap.String("service", state))
}
