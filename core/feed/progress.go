// Package feed decides when a router itself reads a feed, which is a series of
// discovery records in the platform's store. A few routers, the readers, read
// regularly and send the changes to the others. A router that receives nothing for
// too long, or misses records, reads from the store itself.
package feed

import "time"

// Timing holds the durations that govern a feed.
type Timing struct {
	// ReadInterval is the time between two reads of a reader.
	ReadInterval time.Duration
	// MaxAge is how old a router's view of the feed may become before the router
	// reads from the store itself.
	MaxAge time.Duration
}

// Progress is the position of a router in a feed. The zero value has read
// nothing.
type Progress struct {
	// Synced is true once the whole feed was read.
	Synced bool
	// Era is the number of the store's history to which Next belongs: when the store comes
	// back from an older copy, offsets are given out again. Zero if it isn't known.
	Era uint64
	// Next is the offset of the next record that the router needs.
	Next uint64
	// KnownUntil is the time up to which the router knows the feed, ContinuousSince the one from
	// which on it has got every record; zero if it has read nothing.
	KnownUntil, ContinuousSince time.Time
	// missedUntil is the highest offset after a batch that could not be applied. While
	// it exceeds Next, the router has missed records.
	missedUntil uint64
	// readStart is when the last successful read by the router itself started.
	readStart time.Time
}

// Reset notes that the router has read the whole feed up to the offset next of an era, in
// a read that started at start. It reports whether earlier records may be unknown: the router
// has read nothing before, or the store has dropped some.
func (p *Progress) Reset(era, next uint64, start time.Time) (gap bool) {
	since := p.ContinuousSince
	gap = since.IsZero() || (!p.Synced && era == p.Era)
	if gap {
		since = start
	}
	*p = Progress{Synced: true, Era: era, Next: next, KnownUntil: start, ContinuousSince: since, readStart: start}
	return gap
}

// Outdated reports whether something that was read in an era belongs to an earlier one than
// what the router knows.
func (p *Progress) Outdated(era uint64) bool { return era != 0 && era < p.Era }

// Newer reports whether it belongs to a later one.
func (p *Progress) Newer(era uint64) bool { return p.Era != 0 && era > p.Era }

// MarkUnsynced notes that the store dropped records before they were read, so that
// the whole feed has to be read again.
func (p *Progress) MarkUnsynced() { p.Synced = false }

// CheckContinuity reports whether the router is synced and a batch of an era, which begins
// at the offset from and ends before next, leaves no gap after the known records. If not,
// it notes that records were missed, or, if the era is new, that the whole feed has to be
// read. A batch of an earlier era is to be dropped before.
func (p *Progress) CheckContinuity(era, from, next uint64) bool {
	if p.Newer(era) {
		p.MarkUnsynced()
		return false
	}
	if p.Synced && from <= p.Next {
		return true
	}
	p.missedUntil = max(p.missedUntil, next)
	return false
}

// Advance adds a batch for which CheckContinuity was true to the known records. The
// batch ends before the offset next and its read started at start. fromStore is true
// if the router itself read it, false if it was received from another router.
func (p *Progress) Advance(next uint64, start time.Time, fromStore bool) {
	p.Next = max(p.Next, next)
	if start.After(p.KnownUntil) {
		p.KnownUntil = start
	}
	if fromStore {
		p.readStart = start
	}
}

// Stale reports whether the router is not synced or its view of the feed has reached
// MaxAge.
func (p *Progress) Stale(now time.Time, t Timing) bool {
	return !p.Synced || now.Sub(p.KnownUntil) >= t.MaxAge
}

// ReadDelay returns how long the router waits before it reads from the store itself:
// not at all if it is not synced, or if it has missed records and its last read
// succeeded. reader is true if the router is one of the readers, which read every
// ReadInterval. failing is true if its last read failed: it then waits like a router
// that is no reader until its view reaches MaxAge, so that batches from other routers
// postpone the read.
func (p *Progress) ReadDelay(now time.Time, t Timing, reader, failing bool) time.Duration {
	switch {
	case !p.Synced, p.missedUntil > p.Next && !failing:
		return 0
	case reader && !failing:
		return max(p.readStart.Add(t.ReadInterval).Sub(now), 0)
	default:
		return max(p.KnownUntil.Add(t.MaxAge).Sub(now), 0)
	}
}
