package fleet

import (
	"math"
	"time"

	"camphorpulley.org/core/roster"
)

// Candidate is an upstream that may get a request.
type Candidate struct {
	Upstream roster.Upstream
	// Load is the number of requests at the upstream as last known. OverBound is true if
	// one more request would exceed the pool's bound.
	Load      int
	OverBound bool
	// ExpectedLoad is the load expected now: the longer ago the other routers' requests
	// were counted, the closer it is to the usual one.
	ExpectedLoad float64
	// CachedTokens is the estimated number of tokens of the prompt's shared parts in
	// the cache. PartsMissing is true if those aren't all.
	CachedTokens int
	PartsMissing bool
	// usefulTokens is CachedTokens if that is at least half of the shared parts, else
	// zero: a part that all prompts begin with would otherwise attract all of them to
	// the same engines.
	usefulTokens int
	// TopRanked is true if the upstream is among the first by rendezvous of those under
	// the bound. Overflowing is true if engines that have the prompt are over the bound.
	TopRanked, Overflowing bool
	// InSpread is true if the upstream is among those over which a prompt is spread that
	// needs more engines than one.
	InSpread bool
	// TotalCached is the estimated number of tokens of all prompts in the cache.
	TotalCached int
	// Pace is how many times longer than usual work is expected to take on the host.
	Pace float64
	// FailureRate is the recent failure rate, from 0 to 1.
	FailureRate float64
	// Excluded is true if the upstream gets work only when there is no other.
	// Unreachable is true if the upstream or its data centre is unreachable.
	Excluded, Unreachable bool
	// SameDataCentre is true if the upstream is in the router's own data centre.
	SameDataCentre bool
	// Leaving is true if the upstream's process has said that it leaves, TurnedAwayFor the
	// time for which it wants nothing from this router.
	Leaving       bool
	TurnedAwayFor time.Duration
	// Brittle is true if the upstream ends if it turns too many requests away.
	// slotShare is this router's share of its slots.
	Brittle   bool
	slotShare int
	// Certain is true if the process at the address is known to be that of the entry.
	Certain bool
	// Broken is true if a connection to the process has broken since it was last known to live.
	Broken bool
	// Limited is true if the upstream keeps to a limit on its requests per second.
	Limited bool
	// WorthQuota is true if a limited upstream is to run the request rather than others.
	WorthQuota bool
	// Score is the rendezvous score for the request's key.
	Score uint64
	// Draw is a pseudorandom number that differs for each request and upstream, so that
	// routers with the same data don't all choose the same upstream.
	Draw  uint64
	state *state
}

// Policy ranks candidates.
type Policy interface {
	// Better reports whether a is preferred to b.
	Better(a, b Candidate) bool
	// LocalOnly reports whether requests go to other data centres only if the local one
	// has no room.
	LocalOnly() bool
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

const (
	// defaultSlots is the number of slots of an upstream that states none.
	defaultSlots = 8
	// minFreePlaces is the least number of free places that counts, so that a full
	// upstream still gets a request now and then if all are full.
	minFreePlaces = 0.1
	// ampleDeviations is how many standard deviations of the load must be free besides:
	// requests arrive in groups.
	ampleDeviations = 3
)

// freePlaces returns the number of slots that are expected to be free.
func (c Candidate) freePlaces() float64 {
	return float64(slotsOf(c.Upstream)) - c.ExpectedLoad
}

// slotsOf returns the number of slots of an upstream.
func slotsOf(u roster.Upstream) int {
	if u.Slots <= 0 {
		return defaultSlots
	}
	return u.Slots
}

// ample reports whether the upstream is expected to have a free slot even if its load
// is higher by ampleDeviations standard deviations of independent arrivals.
func (c Candidate) ample() bool {
	return c.freePlaces()-ampleDeviations*math.Sqrt(max(c.ExpectedLoad, 0)) >= 1
}

// race returns a random number that is the lowest of several candidates with a
// probability in proportion to their free places.
func (c Candidate) race() float64 {
	uniform := (float64(c.Draw>>11) + 1) / (1<<53 + 1)
	return -math.Log(uniform) / max(c.freePlaces(), minFreePlaces)
}

// Affinity prefers, among engines under the bound on the load, the one that has the
// most of the prompt in its cache, and chooses at random among those that have as much, or
// among all over which the prompt is spread.
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
	if a.InSpread != b.InSpread {
		return a.InSpread
	}
	if a.InSpread {
		return a.Draw > b.Draw
	}
	if a.usefulTokens != b.usefulTokens {
		return a.usefulTokens > b.usefulTokens
	}
	if a.usefulTokens > 0 {
		return closerOrDrawn(a, b)
	}
	if a.PartsMissing && a.TopRanked != b.TopRanked {
		return a.TopRanked
	}
	if a.Overflowing {
		return closerOrDrawn(a, b)
	}
	if sa, sb := a.TotalCached/cachedStep, b.TotalCached/cachedStep; a.PartsMissing && sa != sb {
		return sa < sb
	}
	return a.Score > b.Score
}

// LocalOnly implements Policy.
func (Affinity) LocalOnly() bool { return false }

// closerOrDrawn prefers the local data centre, whose load is known best, and chooses at
// random within one.
func closerOrDrawn(a, b Candidate) bool {
	if a.SameDataCentre != b.SameDataCentre {
		return a.SameDataCentre
	}
	return a.Draw > b.Draw
}

const (
	// topChoices is the number of engines, by rendezvous, that are preferred for a
	// prompt that no engine has whole. With the same data, all routers would otherwise
	// choose the engine with the emptiest cache until their next heartbeats.
	topChoices = 3
	// overflowFactor is by how many times the engines that have a prompt and are over
	// the bound the number of further engines for it exceeds theirs.
	overflowFactor = 2
)

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

// LocalOnly implements Policy.
func (LocalFirst) LocalOnly() bool { return true }

// FreePlaces chooses at random, with a probability in proportion to the free places of
// each upstream. Routers that don't know of each other's latest requests would all
// choose the upstream with the lowest load. It prefers the local data centre, which no
// partition separates from the router, while the upstreams there have ample places.
type FreePlaces struct{}

// Better implements Policy.
func (FreePlaces) Better(a, b Candidate) bool {
	if better, differ := compareFailureRates(a, b); differ {
		return better
	}
	if la, lb := a.SameDataCentre && a.ample(), b.SameDataCentre && b.ample(); la != lb {
		return la
	}
	return a.race() < b.race()
}

// LocalOnly implements Policy.
func (FreePlaces) LocalOnly() bool { return false }
