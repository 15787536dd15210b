package load

import (
	"math"
	"time"
)

// runTimeWeight is the weight of the newest request in the moments of a RunTime.
const runTimeWeight = 0.05

// RunTime estimates how long the requests that are running in a pool stay there. The
// zero value knows none.
type RunTime struct {
	// mean and square are the moving means of the run times and of their squares, in
	// seconds.
	mean, square float64
}

// Record adds the run time of a request that has ended.
func (r *RunTime) Record(d time.Duration) {
	s := max(d.Seconds(), 0)
	if r.mean == 0 {
		r.mean, r.square = s, s*s
		return
	}
	r.mean += runTimeWeight * (s - r.mean)
	r.square += runTimeWeight * (s*s - r.square)
}

// Mean returns the mean run time; zero if none is known.
func (r *RunTime) Mean() time.Duration { return time.Duration(r.mean * float64(time.Second)) }

// Remaining returns the mean time until the requests that are running now end. Long
// requests are overrepresented among them.
func (r *RunTime) Remaining() time.Duration {
	if r.mean <= 0 {
		return 0
	}
	return time.Duration(r.square / r.mean * float64(time.Second))
}

// relevance returns how much of the difference between a count of running requests and
// the usual one is expected to be left at an age, from 0 to 1: the requests that were
// counted end, and others go to any upstream. It is 1 if no run time is known.
func (r *RunTime) relevance(age time.Duration) float64 {
	remaining := r.Remaining()
	if remaining <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / remaining.Seconds())
}
