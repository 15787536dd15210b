// Package feed decides when a router reads a series of records in the store
// itself. A few routers read and tell the others what has changed; one that
// hears nothing of them for too long, or misses a part, reads for itself.
package feed

import "time"

// Terms are the times of a feed.
type Terms struct {
	// Pause is the time between two reads of a router that tells the others.
	Pause time.Duration
	// Late is how old what a router knows of the feed may become before it reads
	// for itself.
	Late time.Duration
}

// Progress is how far a router has followed a feed. The zero value has read
// nothing.
type Progress struct {
	// Synced is set once the whole feed was read.
	Synced bool
	// Next is the offset of the next record.
	Next uint64
	// Covered is the time up to which the router knows the feed.
	Covered time.Time
	// told is the end of what others have told, if a part before it was missed.
	told uint64
	// read is when the router itself began its last read.
	read time.Time
}

// Reset takes in that the whole feed was read from a time on.
func (p *Progress) Reset(next uint64, began time.Time) {
	*p = Progress{Synced: true, Next: next, Covered: began, read: began}
}

// Lose takes in that records were dropped before they were read.
func (p *Progress) Lose() { p.Synced = false }

// Fits reports whether a part of the feed continues what is known. If not, a part
// before it was missed.
func (p *Progress) Fits(from, next uint64) bool {
	if p.Synced && from <= p.Next {
		return true
	}
	p.told = max(p.told, next)
	return false
}

// Took takes in a part of the feed that fits, as it was read from a time on.
func (p *Progress) Took(next uint64, began time.Time, own bool) {
	p.Next = max(p.Next, next)
	if began.After(p.Covered) {
		p.Covered = began
	}
	if own {
		p.read = began
	}
}

// Late reports whether the router knows nothing recent of the feed.
func (p *Progress) Late(now time.Time, t Terms) bool {
	return !p.Synced || now.Sub(p.Covered) >= t.Late
}

// Due returns how long the router waits before it reads for itself. Reader says
// that it is one of those that tell the others; failing, that its last read
// failed, so that it relies on the others as long as they tell.
func (p *Progress) Due(now time.Time, t Terms, reader, failing bool) time.Duration {
	switch {
	case !p.Synced, p.told > p.Next && !failing:
		return 0
	case reader && !failing:
		return max(p.read.Add(t.Pause).Sub(now), 0)
	default:
		return max(p.Covered.Add(t.Late).Sub(now), 0)
	}
}
