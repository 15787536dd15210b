package fleet

import (
	"time"

	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/prefix"
)

// remoteDistance is the delay of the link to another data centre and back: within a region it is
// below that.
const remoteDistance = 2 * time.Millisecond

// demandOf is what a request asks of an upstream until its answer begins.
type demandOf struct {
	// objective is the caller's objective, base how long answers of the route take to begin
	// at a usual host without reading.
	objective, base time.Duration
	// shared and own are the tokens of the prompt, mostCached those of the shared parts that
	// any candidate has in its cache.
	shared, own, mostCached int
	// engines is true if the pool is one of engines.
	engines bool
	// distance is the delay of the link to another data centre and back.
	distance time.Duration
}

// demandOf returns what a request asks of the candidates.
func (st *states) demandOf(r Request, all []Candidate, link locality.Link) demandOf {
	d := demandOf{distance: remoteDistance, objective: r.Route.LatencyObjective, shared: prefix.TotalTokens(r.SharedParts), own: r.OwnTokens, engines: r.Pool.Engine != nil}
	if b := st.bases[r.Route.Name]; b != nil {
		d.base = b.Mean
	}
	if link.Delay > 0 {
		d.distance = 2 * link.Delay
	}
	for _, c := range all {
		d.mostCached = max(d.mostCached, c.CachedTokens)
	}
	return d
}

// work returns what a candidate would have to do. Parts that another one has are fetched.
func (d demandOf) work(c Candidate) pace.Work {
	w := pace.Work{Base: d.base, Fetch: max(d.mostCached-c.CachedTokens, 0)}
	w.Read = max(d.shared-c.CachedTokens-w.Fetch, 0) + d.own
	if !c.SameDataCentre {
		w.Distance = d.distance
	}
	return w
}

// preferredByPace returns the best candidate, or, if that is known to be slow, the best one
// among the others if the answer begins so much sooner there that the caller gains by it. The
// others have no order by pace, so that routers don't all choose the same one. An application
// takes the request only if it has a place, since its load is known less well.
func preferredByPace[P Policy](policy P, d demandOf, all []Candidate) Candidate {
	best := preferred(policy, all)
	if best.state == nil || best.Pace <= 1 {
		return best
	}
	others := make([]Candidate, 0, len(all))
	for _, c := range all {
		if c.Pace <= 1 && c.mayReplace(best, policy.LocalOnly()) && (d.engines || c.freePlaces() >= 1) {
			others = append(others, c)
		}
	}
	other := preferred(policy, others)
	if other.state == nil {
		return best
	}
	slow, usual := d.work(best).Expected(best.Pace), d.work(other).Expected(other.Pace)
	if (d.engines && !pace.Endangers(slow, d.objective)) || !pace.Worthwhile(slow-usual, d.objective) {
		return best
	}
	return other
}

// mayReplace reports whether a candidate may get a request in place of one that is slow: it is
// no worse in what counts more.
func (c Candidate) mayReplace(slow Candidate, localOnly bool) bool {
	if better, differ := compareFailureRates(c, slow); differ && !better {
		return false
	}
	switch {
	case c.OverBound && !slow.OverBound, c.Excluded && !slow.Excluded, c.Limited && !slow.Limited:
		return false
	case localOnly && slow.SameDataCentre && !c.SameDataCentre:
		return false
	}
	return true
}
