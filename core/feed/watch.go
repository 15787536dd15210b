package feed

import "time"

// Each router reads the operators' records itself, and the store holds a read until a record
// comes. A read that the store has lost gets no response, so that reads must not wait long where
// nothing else tells of new records. Routers state in their heartbeats how far they have read.
// A few of each data centre, the watchers, therefore wait for a short time only, and the others
// for a long one: they read again at once when another router is further than they are.

const (
	// watchers is the number of routers of a data centre that wait for a short time: one may
	// die or lose its read.
	watchers = 2
	// relaxedWait is how long a read of the other routers may wait. A read of each router of a
	// large fleet every few seconds would cost more than all other calls to the store.
	relaxedWait = 12 * time.Second
	// watchGrace is for how long another router may be further before a router reads again: the
	// response to its own read is usually on its way.
	watchGrace = 250 * time.Millisecond
	// doubtTime is for how long positions of others are ignored after a read that didn't reach
	// them: the store may have come back from an older copy without saying so.
	doubtTime = 3 * time.Second
)

// Position is how far a router has read a feed. The zero value has read nothing.
type Position struct {
	// Era is the number of the store's history to which Next belongs; zero if the store states
	// none. Next is the offset of the next record.
	Era, Next uint64
}

// After reports whether the position is further than another one.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Next > other.Next
}

// Watch decides how long a read of the operators' records may wait. The zero value has read
// nothing and heard of nothing.
type Watch struct {
	// Own is this router's position, Heard the furthest one that another router has stated, and
	// HeardAt when a router first stated a position further than Own.
	Own, Heard Position
	HeardAt    time.Time
	// DoubtedUntil is until when what others state is ignored.
	DoubtedUntil time.Time
}

// Read records that a read of this router, which has just been answered, has come to a position.
func (w *Watch) Read(now time.Time, p Position) {
	w.Own = p
	if w.Heard.After(p) && now.Sub(w.HeardAt) >= watchGrace {
		w.Heard, w.DoubtedUntil = Position{}, now.Add(doubtTime)
	}
}

// Hear records how far another router has read at a time.
func (w *Watch) Hear(now time.Time, p Position) {
	if !p.After(w.Own) || now.Before(w.DoubtedUntil) {
		return
	}
	if !w.Heard.After(w.Own) {
		w.HeardAt = now
	}
	if p.After(w.Heard) {
		w.Heard = p
	}
}

// Behind reports whether another router has been further than this one for longer than the
// response to a read takes.
func (w *Watch) Behind(now time.Time) bool {
	return w.Heard.After(w.Own) && now.Sub(w.HeardAt) >= watchGrace
}

// Wait returns how long a read may wait. Short is the time where nothing else tells of records,
// rank the place of this router among the live ones of its data centre, and live their number
// without this one.
func (w *Watch) Wait(short time.Duration, rank, live int) time.Duration {
	if rank < watchers || live < watchers {
		return short
	}
	return max(short, relaxedWait)
}
