package fleet

import (
	"math"
	"slices"
	"time"
)

// Counts of other routers' requests are late, and all routers rank engines alike. If many
// callers use the same prompt at once, the engine that has it is full long before the routers
// hear of it. Each router therefore estimates by its own requests how often the prompt is
// used at all routers, and from that how many engines it needs: the first ones by
// rendezvous, which are the same at all routers, and chooses among them at random.

// spreadFraction is the fraction of the room between the mean load and the bound that the
// requests of one prompt are to take at each of its engines: they don't arrive evenly.
const spreadFraction = 0.5

// lateAge is the mean age of counts from which on each prompt is spread over topChoices
// engines: what all routers send to one engine within that time could fill it.
const lateAge = time.Second

// enginesNeeded returns the number of engines that the requests of a prompt need which come
// at a rate per second and run for a time on average.
func (b loadBound) enginesNeeded(rate float64, runTime time.Duration) int {
	room := max(spreadFraction*(float64(b.Most)-b.Mean), 1)
	return int(math.Ceil(rate * runTime.Seconds() / room))
}

// markSpread sets InSpread on the candidates among which the requests of a prompt are spread
// that needs more engines than one. It does nothing if one is enough.
func markSpread[P Policy](policy P, needed int, all []Candidate) {
	if needed <= 1 {
		return
	}
	var scores []uint64
	for _, c := range all {
		if !policy.LocalOnly() || c.SameDataCentre {
			scores = append(scores, c.Score)
		}
	}
	if len(scores) == 0 {
		return
	}
	slices.Sort(scores)
	least := scores[max(len(scores)-needed, 0)]
	for i, c := range all {
		all[i].InSpread = c.Score >= least && (!policy.LocalOnly() || c.SameDataCentre)
	}
}

// recordDemand counts a request towards the demand for its prompt.
func (st *states) recordDemand(now time.Time, r Request) {
	if r.Pool.Engine != nil && len(r.SharedParts) > 0 {
		st.demand.Add(now, r.AffinityKey)
	}
}

// enginesFor returns the number of engines that the prompt of a request needs, of which a
// number of routers get requests; zero if the request shares no prompt. countAge is the mean
// age of the other routers' counts.
func (st *states) enginesFor(now time.Time, r Request, b loadBound, routers int, countAge time.Duration) int {
	if r.Pool.Engine == nil || len(r.SharedParts) == 0 {
		return 0
	}
	rate := st.demand.Rate(now, r.AffinityKey, routers)
	needed := b.enginesNeeded(rate, st.runTime(r.Pool.Name).Remaining())
	if countAge >= lateAge {
		needed = max(needed, topChoices)
	}
	return needed
}
