// Package feed decides when a router itself reads a series of records from the
// store. A few routers, the readers, read regularly and send the changes to the
// others. A router that receives nothing for too long, or misses records, reads
// from the store itself.
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
	// Next is the offset of the next record that the router needs.
	Next uint64
	// KnownUntil is the time up to which the router knows the feed.
	KnownUntil time.Time
	// missedUntil is the highest end of a batch that didn't continue the known
	// records. There is a gap while it exceeds Next.
	missedUntil uint64
	// readStart is when the last read by the router itself started.
	readStart time.Time
}

// Reset records that the router has read the whole feed up to the offset next, in
// a read that started at start.
func (p *Progress) Reset(next uint64, start time.Time) {
	*p = Progress{Synced: true, Next: next, KnownUntil: start, readStart: start}
}

// MarkUnsynced records that the store dropped records before they were read, so
// that the whole feed has to be read again.
func (p *Progress) MarkUnsynced() { p.Synced = false }

// Continues reports whether a batch, which begins at the offset from and ends
// before next, follows on from the known records without a gap. If not, it notes
// the gap.
func (p *Progress) Continues(from, next uint64) bool {
	if p.Synced && from <= p.Next {
		return true
	}
	p.missedUntil = max(p.missedUntil, next)
	return false
}

// Advance records a batch for which Continues was true. The batch ends before the
// offset next and its read started at start. fromStore is true if the router itself
// read it, false if it was received from another router.
func (p *Progress) Advance(next uint64, start time.Time, fromStore bool) {
	p.Next = max(p.Next, next)
	if start.After(p.KnownUntil) {
		p.KnownUntil = start
	}
	if fromStore {
		p.readStart = start
	}
}

// Stale reports whether the router's view of the feed is older than permitted.
func (p *Progress) Stale(now time.Time, t Timing) bool {
	return !p.Synced || now.Sub(p.KnownUntil) >= t.MaxAge
}

// ReadDelay returns how long the router waits before it reads from the store
// itself: not at all if it is not synced or has missed records. reader is true if the router is one of the readers. failing is true if
// its last read failed: it then relies on the other routers while they send.
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
