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
	// Running is the number of the router's own requests that run there.
	Running int
	// score is the rendezvous score while candidates are ordered.
	score uint64
}

// Policy orders the candidates for a chat, the best one first. It is used as a
// type constraint.
type Policy interface {
	Order(key core.Digest, candidates []Candidate) []Candidate
}

// Order applies a policy, which may reorder the slice in place, and returns the
// candidates to try in turn.
func Order[P Policy](policy P, key core.Digest, candidates []Candidate) []Candidate {
	return policy.Order(key, candidates)
}

// Rendezvous orders candidates by rendezvous (highest random weight) hashing.
type Rendezvous struct{}

// Order implements Policy.
func (Rendezvous) Order(key core.Digest, candidates []Candidate) []Candidate {
	for i := range candidates {
		candidates[i].score = Score(key, string(candidates[i].ID))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(b.score, a.score) })
	return candidates
}

// FirstOnly returns only the first candidate by rendezvous hashing.
type FirstOnly struct{}

// Order implements Policy.
func (FirstOnly) Order(key core.Digest, candidates []Candidate) []Candidate {
	ordered := Rendezvous{}.Order(key, candidates)
	return ordered[:min(len(ordered), 1)]
}

// Random shuffles the candidates.
type Random struct {
	generator *table.Cell[*rand.Rand]
}

// NewRandom returns a Random that uses the given source.
func NewRandom(source rand.Source) *Random {
	return &Random{generator: table.New(table.RankPolicies, rand.New(source))}
}

// Order implements Policy.
func (p *Random) Order(_ core.Digest, candidates []Candidate) []Candidate {
	p.generator.Do(table.Hold{}, func(_ table.Hold, r **rand.Rand) {
		(*r).Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
	})
	return candidates
}

// RoundRobin sorts the candidates by id and starts with the next one at each
// request.
type RoundRobin struct {
	next atomic.Uint64
}

// Order implements Policy.
func (p *RoundRobin) Order(_ core.Digest, candidates []Candidate) []Candidate {
	if len(candidates) == 0 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	first := int(p.next.Add(1) % uint64(len(candidates)))
	return append(slices.Clone(candidates[first:]), candidates[:first]...)
}

// BoundedLoad orders candidates by rendezvous hashing with bounded loads: it puts
// those last on which one more request would exceed LoadFactor times the mean of
// the router's own requests.
type BoundedLoad struct {
	LoadFactor float64
}

// Order implements Policy.
func (p BoundedLoad) Order(key core.Digest, candidates []Candidate) []Candidate {
	ordered := Rendezvous{}.Order(key, candidates)
	bound := loadBound(p.LoadFactor, ordered)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return cmp.Compare(overBound(a, bound), overBound(b, bound))
	})
	return ordered
}

// loadBound returns the largest permitted number of requests on a candidate once
// one more request runs.
func loadBound(loadFactor float64, candidates []Candidate) int {
	total := 1
	for _, c := range candidates {
		total += c.Running
	}
	return int(math.Ceil(loadFactor * float64(total) / float64(max(len(candidates), 1))))
}

// overBound returns 1 if the candidate has no room for another request, otherwise 0.
func overBound(c Candidate, bound int) int {
	if c.Running >= bound {
		return 1
	}
	return 0
}

// Sticky prefers the upstream that was chosen for the chat before, unless one more
// request there would exceed LoadFactor times the mean; otherwise it prefers the
// upstream with the fewest requests. It is a baseline for the other policies, with a
// single router, which sees every request and so knows all that a policy can know.
type Sticky struct {
	LoadFactor float64
	// last is the upstream chosen last for each chat. It is never pruned, so Sticky
	// is for measurements only.
	last table.Cell[map[core.Digest]core.UpstreamID]
}

// Order implements Policy.
func (p *Sticky) Order(key core.Digest, candidates []Candidate) []Candidate {
	bound := loadBound(p.LoadFactor, candidates)
	p.last.Do(table.Hold{}, func(_ table.Hold, last *map[core.Digest]core.UpstreamID) {
		previous := (*last)[key]
		slices.SortFunc(candidates, func(a, b Candidate) int {
			return cmp.Or(
				cmp.Compare(notPrevious(a, previous, bound), notPrevious(b, previous, bound)),
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

// notPrevious returns 0 for the chat's previous upstream if it has room, otherwise 1.
func notPrevious(c Candidate, previous core.UpstreamID, bound int) int {
	if c.ID == previous && c.Running < bound {
		return 0
	}
	return 1
}
