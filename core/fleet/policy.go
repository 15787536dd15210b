package fleet

import "camphorpulley.org/core/roster"

// Candidate is an upstream that may get a request.
type Candidate struct {
	Upstream roster.Upstream
	// Load is the estimate of what the upstream holds; Over is set if one more
	// request would exceed the bound on the mean.
	Load int
	Over bool
	// Held is how many tokens of the prompt the upstream is taken to have, and
	// Lacks is set if that isn't all that requests share.
	Held  int
	Lacks bool
	// useful is Held if that is most of the prompt, else zero: the part that all
	// prompts begin with would draw them all to the same engines.
	useful int
	// First is set if the upstream is among the first by rendezvous of those that
	// are under the bound.
	First bool
	// Stored is how many tokens of all prompts the upstream is taken to have.
	Stored int
	// Failing is the recent failure rate.
	Failing float64
	// Rests is set if the upstream is left alone for now, and Lost if contact to it
	// or to its data centre was lost.
	Rests, Lost bool
	// Near is set for the router's own data centre.
	Near bool
	// Score is the rendezvous weight for the request's key.
	Score uint64
	state *state
}

// Policy orders candidates.
type Policy interface {
	// Better reports whether a is to be preferred to b.
	Better(a, b Candidate) bool
}

func choose[P Policy](policy P, all []Candidate) Candidate {
	var best Candidate
	for _, c := range all {
		if best.state == nil || policy.Better(c, best) {
			best = c
		}
	}
	return best
}

// failingStep is the difference between failure rates below which they count
// as equal: about two failures among the last eight outcomes.
const failingStep = 0.25

// failing compares failure rates; it reports no difference if both are alike.
func failing(a, b Candidate) (better, differ bool) {
	if d := a.Failing - b.Failing; d > failingStep || d < -failingStep {
		return d < 0, true
	}
	return false, false
}

// farCost is how many requests a near upstream may hold more than a far one
// and still be preferred: a cut between data centres breaks what is far, and a
// request waits only once all places are taken.
const farCost = 2

// weigh returns the load for comparison with upstreams that are near or far.
func (c Candidate) weigh() int {
	if c.Near {
		return c.Load
	}
	return c.Load + farCost
}

// Affinity prefers the engine that has the most of the prompt in its cache,
// under the bound on the load.
type Affinity struct{}

// Better implements Policy.
func (Affinity) Better(a, b Candidate) bool {
	if better, differ := failing(a, b); differ {
		return better
	}
	if a.Over != b.Over {
		return b.Over
	}
	if a.Over && a.Load != b.Load {
		return a.Load < b.Load
	}
	if a.useful != b.useful {
		return a.useful > b.useful
	}
	if a.Lacks && a.First != b.First {
		return a.First
	}
	if sa, sb := a.Stored/storedStep, b.Stored/storedStep; a.Lacks && sa != sb {
		return sa < sb
	}
	return a.Score > b.Score
}

// firstChoices is how many engines, by rendezvous, a prompt that no engine has
// may go to. Routers that know the same would else all choose the one that has
// the least, until they hear of each other.
const firstChoices = 3

// storedStep is the difference between stored tokens below which engines count
// as equally full: a few long prompts, which routers may not have told yet.
const storedStep = 32 << 10

// Local prefers near engines, and is Affinity among them. It is for requests
// that can't go on elsewhere: a cut between data centres doesn't break them.
type Local struct{}

// Better implements Policy.
func (Local) Better(a, b Candidate) bool {
	if a.Near != b.Near && !a.Over && !b.Over {
		if better, differ := failing(a, b); differ {
			return better
		}
		return a.Near
	}
	return Affinity{}.Better(a, b)
}

// Spread prefers the least loaded upstream, and a near one among equals.
type Spread struct{}

// Better implements Policy.
func (Spread) Better(a, b Candidate) bool {
	if better, differ := failing(a, b); differ {
		return better
	}
	if la, lb := a.weigh(), b.weigh(); la != lb {
		return la < lb
	}
	return a.Score > b.Score
}
