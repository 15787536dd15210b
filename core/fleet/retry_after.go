package fleet

import (
	"time"

	"camphorpulley.org/core"
)

// When the caller of a refused request may return is decided where the cause is known: by the limits
// and the statements of upstreams in choice_refusal.go and brittle.go, by a dispatcher in package
// dispatch, and here for a router that has just started. All other refusals state retryAfter.

const (
	// startTime is how long after its start a router is expected to read the configuration and the
	// entries: other routers pass them on within a heartbeat, and the store answers within a second.
	startTime = 3 * time.Second
	// startReturn and startSpread are when the callers return that a starting router refuses: by then
	// it has read the store, or the load balancer sends them to another router.
	startReturn = 50 * time.Millisecond
	startSpread = 150 * time.Millisecond
)

// spreadReturn returns a time from least on, spread so that callers that are refused at one moment
// don't return at one.
func spreadReturn(draw core.Digest, least, spread time.Duration) time.Duration {
	return (least + time.Duration(uint64(draw)%uint64(spread))).Round(time.Millisecond)
}

// startingRefusal sets when the caller may return if the refusal has the cause that the router has
// just started and hasn't read something yet.
func (f *Fleet) startingRefusal(now time.Time, refusal *core.Refusal, draw core.Digest) *core.Refusal {
	if now.Sub(f.started) < startTime {
		refusal.RetryAfter = spreadReturn(draw, startReturn, startSpread)
	}
	return refusal
}

// noEntry returns the refusal of a request for which no upstream is in service, or is known yet.
func (f *Fleet) noEntry(now time.Time, r Request) *core.Refusal {
	refusal := noUpstream("no upstream of the pool is in service")
	if _, read := f.ReadOffset(); !read {
		return f.startingRefusal(now, refusal, r.draw)
	}
	return refusal
}
