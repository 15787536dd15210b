package chat

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	ID core.UpstreamID
	// Running is how many of the own router's requests run there.
	Running int
	// score is the rendezvous weight while candidates are ordered.
	score uint64
}

// Policy orders the candidates for a chat, the best first. It is a constraint
// for type parameters.
type Policy interface {
	Order(key core.Digest, candidates []Candidate) []Candidate
}

// Order sorts candidates in place by a policy and returns those to try.
func Order[P Policy](policy P, key core.Digest, candidates []Candidate) []Candidate {
	return policy.Order(key, candidates)
}

// Rendezvous orders by highest random weight.
type Rendezvous struct{}

// Order implements Policy.
func (Rendezvous) Order(key core.Digest, candidates []Candidate) []Candidate {
	for i := range candidates {
		candidates[i].score = Score(key, string(candidates[i].ID))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(b.score, a.score) })
	return candidates
}

// First orders by highest random weight and tries the first alone.
type First struct{}

// Order implements Policy.
func (First) Order(key core.Digest, candidates []Candidate) []Candidate {
	ordered := Rendezvous{}.Order(key, candidates)
	return ordered[:min(len(ordered), 1)]
}

// Random orders at random.
type Random struct {
	rand *table.Cell[*rand.Rand]
}

// NewRandom returns a Random that draws from a source.
func NewRandom(source rand.Source) *Random {
	return &Random{rand: table.New(table.RankPolicies, rand.New(source))}
}

// Order implements Policy.
func (p *Random) Order(_ core.Digest, candidates []Candidate) []Candidate {
	p.rand.Do(table.Hold{}, func(_ table.Hold, r **rand.Rand) {
		(*r).Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
	})
	return candidates
}

// Robin takes the candidates in turn.
type Robin struct {
	next atomic.Uint64
}

// Order implements Policy.
func (p *Robin) Order(_ core.Digest, candidates []Candidate) []Candidate {
	if len(candidates) == 0 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	first := int(p.next.Add(1) % uint64(len(candidates)))
	return append(slices.Clone(candidates[first:]), candidates[:first]...)
}

// Bounded orders by highest random weight and puts the upstreams on which the
// own router has more than a multiple of its own mean last.
type Bounded struct {
	Multiple float64
}

// Order implements Policy.
func (p Bounded) Order(key core.Digest, candidates []Candidate) []Candidate {
	ordered := Rendezvous{}.Order(key, candidates)
	bound := boundOf(p.Multiple, ordered)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return cmp.Compare(over(a, bound), over(b, bound))
	})
	return ordered
}

// boundOf returns the largest load of a candidate when one request more runs.
func boundOf(multiple float64, candidates []Candidate) int {
	total := 1
	for _, c := range candidates {
		total += c.Running
	}
	return int(math.Ceil(multiple * float64(total) / float64(max(len(candidates), 1))))
}

func over(c Candidate, bound int) int {
	if c.Running >= bound {
		return 1
	}
	return 0
}

// Sticky sends a chat where it was last unless that has more than a multiple
// of the mean, and else to the upstream with the least load. Where one router
// sees every request, it is the best that can be known.
type Sticky struct {
	Multiple float64
	last     table.Cell[map[core.Digest]core.UpstreamID]
}

// Order implements Policy.
func (p *Sticky) Order(key core.Digest, candidates []Candidate) []Candidate {
	bound := boundOf(p.Multiple, candidates)
	p.last.Do(table.Hold{}, func(_ table.Hold, last *map[core.Digest]core.UpstreamID) {
		home := (*last)[key]
		slices.SortFunc(candidates, func(a, b Candidate) int {
			return cmp.Or(
				cmp.Compare(away(a, home, bound), away(b, home, bound)),
				cmp.Compare(a.Running, b.Running),
				cmp.Compare(a.ID, b.ID),
			)
		})
		if *last == nil {
			*last = map[core.Digest]core.UpstreamID{}
		}
		if len(candidates) > 0 {
			(*last)[key] = candidates[0].ID
		}
	})
	return candidates
}

// away is zero for the upstream where a chat was last if that has room.
func away(c Candidate, home core.UpstreamID, bound int) int {
	if c.ID == home && c.Running < bound {
		return 0
	}
	return 1
}
