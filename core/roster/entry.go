package roster

import (
	"time"

	"camphorpulley.org/core"
)

// Entry is what an upstream says of itself through discovery.
type Entry struct {
	ID         core.UpstreamID
	Pool       core.Pool
	Address    string
	DataCentre core.DataCentre
	// Born names the process: its start in milliseconds since the Unix epoch;
	// zero if the upstream doesn't tell.
	Born int64
	// Sequence counts what one process has written.
	Sequence uint64
	Slots    int
	Draining bool
	// ColdLeft is how much longer the upstream stays cold.
	ColdLeft time.Duration
	// Source is the text that the entry was read from.
	Source []byte
}

// same reports whether two entries say the same but for the sequence.
func (e Entry) same(o Entry) bool {
	return e.Pool == o.Pool && e.Address == o.Address && e.Born == o.Born && e.Draining == o.Draining
}

// Upstream is an entry with what the roster knows of it.
type Upstream struct {
	Entry
	// ColdUntil is when the upstream has warmed up.
	ColdUntil time.Time
	// Gone is when the entry was removed; zero while it stands.
	Gone time.Time
	// Lapsed is set if the entry was removed while the store was unreliable.
	Lapsed bool
	// Heard is when another router told of the entry; zero once the store has
	// shown it.
	Heard time.Time
}

// coldStep is how much the end of the cold time of one process may differ between
// two entries: they are read up to a second after they were written.
const coldStep = 1500 * time.Millisecond

// warms reports whether an upstream turns out to be cold for longer than it was
// known to be, or for less.
func (u Upstream) warms(now time.Time, old Upstream) bool {
	if !u.Cold(now) && !old.Cold(now) {
		return false
	}
	return u.ColdUntil.Sub(old.ColdUntil).Abs() > coldStep
}

// Cold reports whether the upstream is still warming up.
func (u Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }
