package fleet

import (
	"net/http"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/quota"
	"camphorpulley.org/core/statement"
)

const (
	// refusalWindow is the time whose refusals are counted.
	refusalWindow = time.Second
	// minLimitRetry and maxLimitRetry bound the time after which callers may return.
	minLimitRetry = 100 * time.Millisecond
	maxLimitRetry = 5 * time.Second
)

// refuseChoice returns the refusal of a request that none of the candidates may get.
func (st *states) refuseChoice(now time.Time, r Request, all []Candidate, routers int) *core.Refusal {
	if all = permitted(r, all); len(all) == 0 {
		return releaseGone()
	}
	switch {
	case slices.ContainsFunc(all, func(c Candidate) bool { return c.Limited }):
		return st.limitRefusal(now, r, all, routers)
	case slices.ContainsFunc(all, func(c Candidate) bool { return c.TurnedAwayFor > 0 }):
		return turnedAwayRefusal(r, all)
	case slices.ContainsFunc(all, func(c Candidate) bool { return c.crowded(now) }):
		return brittleRefusal(r)
	case slices.ContainsFunc(all, func(c Candidate) bool { return c.Leaving }):
		return noUpstream("the upstreams of the pool are leaving")
	}
	return noUpstream("the upstreams of the pool are warming up")
}

// limitRefusal returns the refusal of a request that no upstream of the pool may get
// because of the limits. The callers that a router refuses return one after the other, at
// the rate that the pool's limits leave for each router.
func (st *states) limitRefusal(now time.Time, r Request, all []Candidate, routers int) *core.Refusal {
	perSecond := 0.0
	for _, c := range all {
		if c.Limited {
			perSecond += max(c.state.said.Limit.PerSecond, quota.MinPerSecond)
		}
	}
	w := st.refusalsOf(r.Pool.Name)
	w.Add(now)
	wait := float64(w.Count(now, refusalWindow)*max(routers, 1)) / max(perSecond, quota.MinPerSecond)
	refusal := notRunRefusal(http.StatusServiceUnavailable, codeLimited, "the upstreams of the pool take no more requests at this moment")
	refusal.RetryAfter = min(max(time.Duration(wait*float64(time.Second)), minLimitRetry), maxLimitRetry).Round(time.Millisecond)
	return refusal
}

// maxSpread is the time over which callers are spread that return after upstreams have
// turned routers away.
const maxSpread = time.Second

// turnedAwayRefusal returns the refusal of a request because all upstreams of the pool have
// turned this router away. Callers may return once the first one takes requests again,
// spread so that they don't come at the same time.
func turnedAwayRefusal(r Request, all []Candidate) *core.Refusal {
	earliest := statement.MaxRetryAfter
	for _, c := range all {
		if c.TurnedAwayFor > 0 {
			earliest = min(earliest, c.TurnedAwayFor)
		}
	}
	refusal := notRunRefusal(http.StatusServiceUnavailable, codeTurnedAway, "the upstreams of the pool have turned this router away")
	refusal.RetryAfter = spreadReturn(r.draw, earliest, min(max(earliest, time.Millisecond), maxSpread))
	return refusal
}
