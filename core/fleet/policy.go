package fleet

import "camphorpulley.org/core/roster"

// Candidate is an upstream that may get a request.
type Candidate struct {
	Upstream roster.Upstream
	// Load is the estimated number of requests at the upstream. OverBound is true if
	// one more request would exceed the pool's bound.
	Load      int
	OverBound bool
	// CachedTokens is the estimated number of tokens of the prompt's shared parts in
	// the cache. PartsMissing is true if those aren't all.
	CachedTokens int
	PartsMissing bool
	// usefulTokens is CachedTokens if that is at least half of the shared parts, else
	// zero: a part that all prompts begin with would otherwise attract all of them to
	// the same engines.
	usefulTokens int
	// TopRanked is true if the rendezvous score is at least the lowest of the
	// topChoices highest scores of the upstreams under the bound.
	TopRanked bool
	// TotalCached is the estimated number of tokens of all prompts in the cache.
	TotalCached int
	// FailureRate is the recent failure rate, from 0 to 1.
	FailureRate float64
	// Excluded is true if the upstream gets work only when there is no other.
	// Unreachable is true if the upstream or its data centre is unreachable.
	Excluded, Unreachable bool
	// SameDataCentre is true if the upstream is in the router's own data centre.
	SameDataCentre bool
	// Score is the rendezvous score for the request's key.
	Score uint64
	state *state
}

// Policy ranks candidates.
type Policy interface {
	// Better reports whether a is preferred to b.
	Better(a, b Candidate) bool
}

// preferred returns the best candidate; its state is nil if there are none.
func preferred[P Policy](policy P, all []Candidate) Candidate {
	var best Candidate
	for _, c := range all {
		if best.state == nil || policy.Better(c, best) {
			best = c
		}
	}
	return best
}

// failureRateStep is the difference up to which failure rates count as equal: about
// two failures among the last eight outcomes.
const failureRateStep = 0.25

// compareFailureRates reports whether the failure rates differ by more than
// failureRateStep, and if so whether that of a is the lower one. All policies compare
// them first.
func compareFailureRates(a, b Candidate) (better, differ bool) {
	if d := a.FailureRate - b.FailureRate; d > failureRateStep || d < -failureRateStep {
		return d < 0, true
	}
	return false, false
}

// remoteCost is added to the load of upstreams in other data centres, in requests. A
// partition breaks requests there, and a somewhat higher load in the local data
// centre delays no request until all of an upstream's slots are in use.
const remoteCost = 2

// weightedLoad returns the load, plus remoteCost for another data centre.
func (c Candidate) weightedLoad() int {
	if c.SameDataCentre {
		return c.Load
	}
	return c.Load + remoteCost
}

// Affinity prefers, among engines under the bound on the load, the one that has the
// most of the prompt in its cache.
type Affinity struct{}

// Better implements Policy.
func (Affinity) Better(a, b Candidate) bool {
	if better, differ := compareFailureRates(a, b); differ {
		return better
	}
	if a.OverBound != b.OverBound {
		return b.OverBound
	}
	if a.OverBound && a.Load != b.Load {
		return a.Load < b.Load
	}
	if a.usefulTokens != b.usefulTokens {
		return a.usefulTokens > b.usefulTokens
	}
	if a.PartsMissing && a.TopRanked != b.TopRanked {
		return a.TopRanked
	}
	if sa, sb := a.TotalCached/cachedStep, b.TotalCached/cachedStep; a.PartsMissing && sa != sb {
		return sa < sb
	}
	return a.Score > b.Score
}

// topChoices is the number of engines, by rendezvous, that are preferred for a
// prompt that no engine has whole. With the same data, all routers would otherwise
// choose the engine with the emptiest cache until their next heartbeats.
const topChoices = 3

// cachedStep is the granularity, in tokens, at which caches are compared: a few long
// prompts, which other routers may not have announced yet.
const cachedStep = 32 << 10

// LocalFirst prefers engines in the router's own data centre to others if both are
// under the bound on the load, and ranks the rest like Affinity. It is for requests
// that can't be resumed at another engine, so that a partition between data centres
// doesn't break them.
type LocalFirst struct{}

// Better implements Policy.
func (LocalFirst) Better(a, b Candidate) bool {
	if a.SameDataCentre != b.SameDataCentre && !a.OverBound && !b.OverBound {
		if better, differ := compareFailureRates(a, b); differ {
			return better
		}
		return a.SameDataCentre
	}
	return Affinity{}.Better(a, b)
}

// LeastLoaded prefers the upstream with the lowest load, with remoteCost added for
// upstreams in other data centres.
type LeastLoaded struct{}

// Better implements Policy.
func (LeastLoaded) Better(a, b Candidate) bool {
	if better, differ := compareFailureRates(a, b); differ {
		return better
	}
	if la, lb := a.weightedLoad(), b.weightedLoad(); la != lb {
		return la < lb
	}
	return a.Score > b.Score
}
