package roster

import (
	"time"

	"camphorpulley.org/core"
)

// Entry is the discovery record that an upstream publishes about itself.
type Entry struct {
	ID         core.UpstreamID
	Pool       core.Pool
	Address    string
	DataCentre core.DataCentre
	// Release is the software release that the process runs; empty if it states none.
	Release string
	// StartedMS is the start time of the process, which identifies it, in
	// milliseconds since the Unix epoch; zero if the upstream doesn't publish it.
	StartedMS int64
	// Sequence increases with each entry that one process writes.
	Sequence uint64
	// Slots is the number of requests that the upstream serves at a time; the roster
	// doesn't use it.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the upstream stays cold.
	ColdRemaining time.Duration
	// Source is the encoded entry.
	Source []byte
}

// equivalent reports whether two entries agree in pool, address, process and
// draining; all other fields are ignored.
func (e Entry) equivalent(o Entry) bool {
	return e.Pool == o.Pool && e.Address == o.Address && e.StartedMS == o.StartedMS && e.Draining == o.Draining
}

// laterThan reports whether the entry is that of a later process, or a later one of the same
// process, than o.
func (e Entry) laterThan(o Entry) bool {
	return e.StartedMS > o.StartedMS || (e.StartedMS == o.StartedMS && e.Sequence > o.Sequence)
}

// Upstream is an entry with the state that the roster keeps for it.
type Upstream struct {
	Entry
	// ColdUntil is when the upstream finishes warming up.
	ColdUntil time.Time
	// RemovedAt is when the entry was removed; zero if it was not.
	RemovedAt time.Time
	// RemovedInOutage is the number of the store's outage during which, or within
	// RecoveryGrace after which, the entry disappeared without draining first and without
	// having been seen since; zero if it did not.
	RemovedInOutage int
	// UnconfirmedSince is when another router sent the entry; zero once it was
	// read from the store.
	UnconfirmedSince time.Time
	// RemovedAhead is true if another router has said that the entry is gone: it is, although
	// the feed may show it later.
	RemovedAhead bool
}

// coldUntilTolerance is how much the end of the cold time of one process may
// differ between two entries: they are read up to a second after being written.
const coldUntilTolerance = 1500 * time.Millisecond

// coldUntilChanged reports whether the end of the cold time differs from that of
// the old entry by more than the tolerance.
func (u Upstream) coldUntilChanged(now time.Time, old Upstream) bool {
	if !u.Cold(now) && !old.Cold(now) {
		return false
	}
	return u.ColdUntil.Sub(old.ColdUntil).Abs() > coldUntilTolerance
}

// Cold reports whether the upstream is still warming up.
func (u Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }
