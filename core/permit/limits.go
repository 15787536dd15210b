package permit

import "math"

// Limits holds what bounds the requests at an upstream at present.
type Limits struct {
	// Capacity is the most concurrent requests that the upstream serves.
	Capacity int
	// LoadFactor bounds the load to a multiple of the pool's mean, which is
	// PoolRequests divided by PoolUpstreams.
	LoadFactor    float64
	PoolRequests  int
	PoolUpstreams int
	// Boot identifies the upstream's process for which Capacity was computed.
	Boot string
	// Seats and Offset split Capacity among the owners, as for Split. Where Seats
	// is zero, the owners' allocations alone bound the use of their units.
	Seats, Offset int
}

// usable returns how many units of an allocation may be in use at a time. An
// allocation may have been made for a larger limit, such as that of an earlier
// process, and other coordinators may use the units of other owners. The shares of
// the present limit bound the sum of both.
func (l Limits) usable(a Allocation) int {
	if l.Seats <= 0 {
		return a.Units
	}
	return min(a.Units, Split(l.Capacity, l.Seats, a.Owner, l.Offset)-a.Outstanding)
}

// MaxInFlight returns the largest permitted number of requests in flight.
// PoolRequests must include the request to be decided. The load is bounded by
// Capacity alone where LoadFactor or PoolUpstreams is zero.
func (l Limits) MaxInFlight() int {
	if l.LoadFactor <= 0 || l.PoolUpstreams <= 0 {
		return l.Capacity
	}
	mean := float64(l.PoolRequests) / float64(l.PoolUpstreams)
	return min(l.Capacity, max(int(math.Ceil(l.LoadFactor*mean)), 1))
}
