package permit

import "math"

// Limits is what bounds an upstream now.
type Limits struct {
	// Bear is what the upstream bears.
	Bear int
	// Multiple, Total and Upstreams give the bound on load: the multiple of
	// the mean of the pool's Total requests over its Upstreams.
	Multiple  float64
	Total     int
	Upstreams int
	// Boot is the process for which Bear was computed.
	Boot string
}

// Bound returns the largest number of requests in flight that is permitted,
// with the request in question counted in Total. No bound on load applies
// where the multiple or the number of upstreams is zero.
func (l Limits) Bound() int {
	if l.Multiple <= 0 || l.Upstreams <= 0 {
		return l.Bear
	}
	mean := float64(l.Total) / float64(l.Upstreams)
	return min(l.Bear, max(int(math.Ceil(l.Multiple*mean)), 1))
}
