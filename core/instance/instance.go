// Package instance holds the entry instances and who of them is alive.
package instance

import (
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Router is one entry instance as seen by another.
type Router struct {
	ID         core.RouterID
	DataCentre core.DataCentre
	// Seat is its place, from one, among its data centre's entry instances.
	Seat    core.Seat
	Address string
	// Incarnation names the process; a restart changes it.
	Incarnation core.Incarnation
	// Revision is the offset of the configuration in force there.
	Revision core.Offset
	Leaving  bool
	// Heard is when its last heartbeat came.
	Heard time.Time
	// Listed is set while the platform's list names it.
	Listed bool
}

// Alive reports whether the router was heard within the time of silence. Safety
// does not depend on the answer.
func (r Router) Alive(now time.Time, silence time.Duration) bool {
	return !r.Heard.IsZero() && now.Sub(r.Heard) < silence
}

// Members is the table of routers, the own one included. The zero value is
// ready to use.
type Members struct {
	routers map[core.RouterID]Router
}

// Hear records a heartbeat.
func (m *Members) Hear(now time.Time, r Router) {
	r.Listed = m.routers[r.ID].Listed
	r.Heard = now
	m.put(r)
}

// MaxSeats is the largest number of seats in a data centre.
const MaxSeats = 64

// HearSeats records which seats of another data centre are alive, as a router
// there has said: a bit for each seat, the first one lowest.
func (m *Members) HearSeats(now time.Time, dc core.DataCentre, bits uint64) {
	for id, r := range m.routers {
		if r.DataCentre == dc && r.Seat > 0 && r.Seat <= MaxSeats && bits&(1<<(r.Seat-1)) != 0 {
			r.Heard = now
			m.routers[id] = r
		}
	}
}

// List takes over the platform's list of entry instances. It adds routers and
// marks absent ones; it never silences a router that is still heard.
func (m *Members) List(routers []Router) {
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

// Forget drops routers that are neither listed nor heard for a time.
func (m *Members) Forget(now time.Time, after time.Duration) {
	for id, r := range m.routers {
		if !r.Listed && now.Sub(r.Heard) > after {
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

// Get returns one router.
func (m *Members) Get(id core.RouterID) (Router, bool) {
	r, ok := m.routers[id]
	return r, ok
}

// All returns every known router in order of their names.
func (m *Members) All() []Router {
	all := make([]Router, 0, len(m.routers))
	for _, r := range m.routers {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Router) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Lose says that the connection to a router broke. It counts as silent until
// it is heard again.
func (m *Members) Lose(id core.RouterID) {
	if r, ok := m.routers[id]; ok {
		r.Heard = time.Time{}
		m.routers[id] = r
	}
}
