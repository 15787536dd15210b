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
