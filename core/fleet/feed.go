package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

const (
	// readerCount is how many routers read the upstreams' entries and send them to the
	// others: one may be unable to reach the store.
	readerCount = 2
	// maxReadInterval is the longest time between two reads by a reader.
	maxReadInterval = time.Second
	// readFraction is the longest time between two reads by a reader, as a fraction of
	// the drain time.
	readFraction = 0.5
	// maxAgeFraction is the age of a router's view at which it reads the store itself,
	// as a fraction of the drain time: the rest of it is for the read.
	maxAgeFraction = 0.75
)

// FeedSegment is a contiguous segment of the upstreams' feed. Records that change nothing at
// a router that knows what the feed has said so far may be omitted.
type FeedSegment struct {
	// Era is the era of the store in which the segment was read; zero if it isn't known.
	// From is the offset of the first record, Next that of the record after the last.
	Era, From, Next uint64
	// AgeMS is the time from the start of the read until the segment was sent, in
	// milliseconds.
	AgeMS   int64
	Records []Record
}

// Record is one change of an upstream's entry in the store.
type Record struct {
	Offset   uint64
	Upstream core.UpstreamID
	// Source is the text of the entry; empty if it was removed.
	Source []byte
	// Entry is the parsed text; nil if the entry was removed or can't be parsed. A record
	// whose text can't be parsed changes nothing.
	Entry *roster.Entry
}

// feedTiming returns the timing of reads, derived from the drain time.
func (f *Fleet) feedTiming() feed.Timing {
	drain := float64(f.settings.Drain)
	return feed.Timing{
		ReadInterval: min(maxReadInterval, time.Duration(readFraction*drain)),
		MaxAge:       time.Duration(maxAgeFraction * drain),
	}
}

// NextReadIn returns how long the router waits until it next reads the upstreams'
// entries in the store. Failing is true if its last read failed.
func (f *Fleet) NextReadIn(now time.Time, failing bool) time.Duration {
	reader := f.isReader(now)
	return table.Read(f.feed, table.Hold{}, func(p *feed.Progress) time.Duration {
		return p.ReadDelay(now, f.feedTiming(), reader, failing)
	})
}

// ReadOffset returns the offset of the next record to read, and false if the router has
// to read all entries instead.
func (f *Fleet) ReadOffset() (uint64, bool) {
	p := table.Read(f.feed, table.Hold{}, func(p *feed.Progress) feed.Progress { return *p })
	return p.Next, p.Synced
}

// MarkRecordsMissed notes that the store dropped records before they were read, so
// that all entries have to be read.
func (f *Fleet) MarkRecordsMissed() {
	f.feed.Do(table.Hold{}, func(_ table.Hold, p *feed.Progress) { p.MarkUnsynced() })
}

// RecordReadFailure records that a read of the store failed. It reports whether the
// router's view is too old because no other router has recently sent the store's
// contents either; the store then counts as unavailable.
func (f *Fleet) RecordReadFailure(now time.Time) bool {
	var stale bool
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		if stale = p.Stale(now, f.feedTiming()); stale {
			f.roster.Do(held, func(_ table.Hold, u *upstreams) { u.roster.SetStoreAvailable(now, false) })
		}
	})
	return stale
}

// RecordStoreCall records whether a call of the store succeeded that reads no entries of upstreams.
func (f *Fleet) RecordStoreCall(now time.Time, succeeded bool) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) { u.roster.SetStoreReached(now, succeeded) })
}

// ApplyFullRead replaces the roster by all entries in the store, from a read that
// started at the given time. Next is the offset of the first record after them, in an era
// of the store. If the store has come back from an older copy, entries that it lacks count
// as lost in an outage. A read of an earlier era than what is known changes nothing. The
// upstreams whose entry is invalid stay as they are.
func (f *Fleet) ApplyFullRead(now, startedAt time.Time, era, next uint64, entries []roster.Entry, invalid ...core.UpstreamID) []roster.Change {
	var changes []roster.Change
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		if p.Outdated(era) {
			return
		}
		f.roster.Do(held, func(_ table.Hold, u *upstreams) {
			if p.Newer(era) {
				u.roster.SetStoreAvailable(now, false)
			}
			u.roster.SetStoreAvailable(now, true)
		})
		changes = f.changeRoster(now, held, func(r *roster.Roster) []roster.Change { return r.ReplaceAll(now, entries, invalid) })
		if p.Reset(era, next, startedAt) {
			f.mixed.Do(held, func(_ table.Hold, m *lineage.MixedPools) { m.Read = false })
		}
	})
	return changes
}

// ApplyRead applies a segment that the router itself has read, from a read that
// started at the given time. It returns the changes and the segment to send to the
// other routers; nil if the router is not a reader and its view was not too old, or if the
// segment doesn't follow what is known.
func (f *Fleet) ApplyRead(now, startedAt time.Time, r FeedSegment) ([]roster.Change, *FeedSegment) {
	sends := f.isReader(now)
	var changes []roster.Change
	segment := FeedSegment{Era: r.Era, From: r.From, Next: r.Next, AgeMS: now.Sub(startedAt).Milliseconds()}
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		sends = sends || p.Stale(now, f.feedTiming())
		if p.Outdated(r.Era) || !p.CheckContinuity(r.Era, r.From, r.Next) {
			sends = false
			return
		}
		// Records before p.Next came from another reader, which sends them itself.
		segment.From = max(r.From, p.Next)
		changes, segment.Records = f.applyRecords(now, startedAt, held, p, r, true)
	})
	if !sends {
		return changes, nil
	}
	return changes, &segment
}

// applyPeerSegment applies a segment that another router has read. If it leaves a gap
// after the known records, or belongs to a new era of the store, its entries are applied as
// unconfirmed, and the router reads the store itself. One of an earlier era changes nothing.
func (f *Fleet) applyPeerSegment(now time.Time, r FeedSegment) Effects {
	var e Effects
	for i, rec := range r.Records {
		if len(rec.Source) == 0 {
			continue
		}
		var err error
		if r.Records[i].Entry, err = f.parseEntry(rec.Upstream, rec.Source); err != nil {
			e.Errors = append(e.Errors, err)
		}
	}
	startedAt := agoMS(now, r.AgeMS)
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		if p.Outdated(r.Era) {
			return
		}
		if p.CheckContinuity(r.Era, r.From, r.Next) {
			e.Changes, _ = f.applyRecords(now, startedAt, held, p, r, false)
			return
		}
		for _, rec := range r.Records {
			if rec.Entry == nil {
				continue
			}
			e.Changes = append(e.Changes, f.changeRoster(now, held, func(s *roster.Roster) []roster.Change {
				return asList(s.PutUnconfirmed(now, *rec.Entry))
			})...)
		}
	})
	return e
}

// applyRecords applies the records of a segment without a gap, except those already
// known. It returns the changes and the records that other routers may need. fromStore is
// true if the router itself has read the segment.
func (f *Fleet) applyRecords(now, startedAt time.Time, held table.Hold, p *feed.Progress, r FeedSegment, fromStore bool) ([]roster.Change, []Record) {
	f.roster.Do(held, func(_ table.Hold, u *upstreams) { u.roster.SetStoreAvailable(now, true) })
	var changes []roster.Change
	var needed []Record
	for _, rec := range r.Records {
		if rec.Offset < p.Next || (rec.Entry == nil && len(rec.Source) > 0) {
			continue
		}
		var news bool
		changes = append(changes, f.changeRoster(now, held, func(s *roster.Roster) []roster.Change {
			var change roster.Change
			var changed bool
			change, changed, news = s.ApplyRecord(now, rec.Upstream, rec.Entry)
			return asList(change, changed)
		})...)
		if news {
			needed = append(needed, rec)
		}
	}
	p.Advance(r.Next, startedAt, fromStore)
	removed := f.changeRoster(now, held, func(s *roster.Roster) []roster.Change { return s.RemoveUnconfirmed(now, startedAt) })
	return append(changes, removed...), needed
}

// asList returns a list of the change if ok, else nil.
func asList(c roster.Change, ok bool) []roster.Change {
	if !ok {
		return nil
	}
	return []roster.Change{c}
}

// isReader reports whether the router is one of those that read the entries and send
// them to the others: the relays of the first two data centres by rendezvous of those
// heard from, or the first two routers if there is no other data centre.
func (f *Fleet) isReader(now time.Time) bool {
	rank := f.localRank(now)
	sources := f.heardSources(now)
	if len(sources) == 0 {
		return rank < readerCount
	}
	own, ahead := chat.Score(relayKey, string(f.settings.DataCentre)), 0
	for _, s := range sources {
		if chat.Score(relayKey, string(s.DataCentre)) > own {
			ahead++
		}
	}
	return rank == 0 && ahead < readerCount
}
