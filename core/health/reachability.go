package health

import (
	"time"

	"camphorpulley.org/core"
)

const (
	// minUnreachable is how many upstreams of a data centre must fail, without data
	// from any upstream there in between, for a partition to be assumed.
	minUnreachable = 2
	// partitionTimeout is how long after the last contact failure a partition is
	// assumed: a little longer than the longest time between two attempts.
	partitionTimeout = maxEjection + maxEjection/4
)

// Reachability is one router's view of whether a data centre can be reached. A
// partition makes all upstreams there unreachable at once, so that not each of them
// has to be tried. The zero value is a reachable data centre.
type Reachability struct {
	unreachable map[core.UpstreamID]bool
	// failures counts contact failures since data last arrived from the data centre;
	// lastFailure is the time of the last one.
	failures    int
	lastFailure time.Time
}

// RecordFailure records a contact failure of an upstream.
func (r *Reachability) RecordFailure(now time.Time, id core.UpstreamID) {
	if r.unreachable == nil {
		r.unreachable = map[core.UpstreamID]bool{}
	}
	r.unreachable[id] = true
	r.failures++
	r.lastFailure = now
}

// RecordContact records that an upstream of the data centre has sent something.
func (r *Reachability) RecordContact() {
	clear(r.unreachable)
	r.failures = 0
}

// Partitioned reports whether a partition from the data centre is assumed.
func (r *Reachability) Partitioned(now time.Time) bool {
	return len(r.unreachable) >= minUnreachable && now.Sub(r.lastFailure) < partitionTimeout
}

// Ejected reports whether a partition is assumed and no upstream of the data centre
// is tried now. Between ejections, which grow longer, some are.
func (r *Reachability) Ejected(now time.Time) bool {
	return r.Partitioned(now) && now.Sub(r.lastFailure) < ejectionTime(r.failures-minUnreachable+1)
}
