package rollout

import "time"

// Progress is what the conductor knows besides the samples.
type Progress struct {
	// Begun is when the order came.
	Begun time.Time
	// OldRunning is the number of requests of all routers at old upstreams; negative if it
	// isn't known.
	OldRunning int
	// DrainTime is how long the requests at old upstreams may still take.
	DrainTime time.Duration
	// NewUpstreams and OldUpstreams are the pool's upstreams in service by release.
	NewUpstreams, OldUpstreams int
}

// Decide returns the next state of a roll-out. It is called some times a second.
func Decide(now time.Time, s State, v Verdict, p Progress) State { return s }
