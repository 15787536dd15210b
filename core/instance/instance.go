// Package instance holds the table of entry instances and when each was last seen.
package instance

import (
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Router is an entry instance as recorded by another.
type Router struct {
	ID         core.RouterID
	DataCentre core.DataCentre
	// Seat is the router's place, counted from one, among the entry instances of
	// its data centre.
	Seat    core.Seat
	Address string
	// Incarnation identifies the process; a restart changes it.
	Incarnation core.Incarnation
	// Revision is the offset of the configuration in force at the router.
	Revision core.Offset
	// ShuttingDown is true while the router should not be chosen as coordinator,
	// for whatever reason.
	ShuttingDown bool
	// LastSeen is when the router's last handshake or heartbeat was received, or
	// another router last reported it as alive; zero if neither has happened or it
	// has been marked unreachable since.
	LastSeen time.Time
	// Listed is true while the platform's list contains the router.
	Listed bool
}

// Alive reports whether the router was last seen less than timeout ago. Safety
// does not depend on the result.
func (r Router) Alive(now time.Time, timeout time.Duration) bool {
	return !r.LastSeen.IsZero() && now.Sub(r.LastSeen) < timeout
}

// Members is the table of known routers. The zero value is ready to use.
type Members struct {
	routers map[core.RouterID]Router
}

// RecordSeen records a router from which a handshake or heartbeat was received.
func (m *Members) RecordSeen(now time.Time, r Router) {
	r.Listed = m.routers[r.ID].Listed
	r.LastSeen = now
	m.put(r)
}

// MaxSeats is the largest number of seats in a data centre.
const MaxSeats = 64

// RecordLiveSeats records which seats of another data centre are alive, as
// reported by a router there: a bit for each seat, the first one lowest.
func (m *Members) RecordLiveSeats(now time.Time, dc core.DataCentre, bits uint64) {
	for id, r := range m.routers {
		if r.DataCentre == dc && r.Seat > 0 && r.Seat <= MaxSeats && bits&(1<<(r.Seat-1)) != 0 {
			r.LastSeen = now
			m.routers[id] = r
		}
	}
}

// ApplyList applies the platform's list of entry instances. It adds listed
// routers, marks absent ones as unlisted, and updates the addresses of known ones
// and, until their process is known, also their data centre and seat. It never
// changes when a router was last seen.
func (m *Members) ApplyList(routers []Router) {
	for id, r := range m.routers {
		r.Listed = false
		m.routers[id] = r
	}
	for _, listed := range routers {
		known, ok := m.routers[listed.ID]
		if !ok {
			known = listed
		}
		known.Address = listed.Address
		if known.Incarnation == 0 {
			known.DataCentre, known.Seat = listed.DataCentre, listed.Seat
		}
		known.Listed = true
		m.put(known)
	}
}

// RemoveStale removes the routers that are not listed and were last seen longer
// ago than the given time or are marked unreachable.
func (m *Members) RemoveStale(now time.Time, after time.Duration) {
	for id, r := range m.routers {
		if !r.Listed && now.Sub(r.LastSeen) > after {
			delete(m.routers, id)
		}
	}
}

func (m *Members) put(r Router) {
	if m.routers == nil {
		m.routers = map[core.RouterID]Router{}
	}
	m.routers[r.ID] = r
}

// Get returns a router by its ID.
func (m *Members) Get(id core.RouterID) (Router, bool) {
	r, ok := m.routers[id]
	return r, ok
}

// All returns every known router, sorted by ID.
func (m *Members) All() []Router {
	all := make([]Router, 0, len(m.routers))
	for _, r := range m.routers {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Router) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// MarkUnreachable records that a router cannot be reached. It counts as not alive
// until it is next seen.
func (m *Members) MarkUnreachable(id core.RouterID) {
	if r, ok := m.routers[id]; ok {
		r.LastSeen = time.Time{}
		m.routers[id] = r
	}
}
