package fleet

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Target is the upstream that was chosen for an attempt.
type Target struct {
	roster.Upstream
	// FetchFrom is the address of the engine that the target is to fetch missing parts
	// of the prompt from; empty if there is none.
	FetchFrom string
	// Load is the estimated number of requests at the target when it was chosen,
	// and CachedTokens the estimated number of tokens of the shared parts in its cache.
	Load, CachedTokens int
	// SharedTokens is the number of tokens in the shared parts of the prompt.
	SharedTokens int
	// Certain reports whether the process at the address is known to be that of the entry.
	Certain bool
	// ChosenAt is when the target was chosen.
	ChosenAt time.Time
	// CandidateCount is the number of upstreams that were eligible.
	CandidateCount int
	// Ask is not nil if the upstream is limited and this router has to ask another one
	// before it sends a request there. The target isn't an attempt then: the request is
	// to choose again once a response has come, or has not.
	Ask *Envelope
	// Slot is the slot that the attempt takes, if a dispatcher grants those of the pool. SlotAsk is
	// not nil if the request has to ask for one first; the target isn't an attempt then.
	Slot    Slot
	SlotAsk *SlotAsk
}

// processName returns a name that differs for each process of an upstream.
func processName(e roster.Entry) string {
	return string(e.ID) + "/" + strconv.FormatInt(e.StartedMS, 10)
}

// Choose selects the upstream for the next attempt of a request by the policy, and
// excludes those that were tried. The attempt counts towards the upstream's load
// until FinishAttempt. Choose refuses if no upstream is eligible (in service, in a
// permitted region and not yet tried), or if cold ones are at their rate limit or
// limited ones at the limit that they name, and there are no others.
func Choose[P Policy](now time.Time, f *Fleet, policy P, r Request, tried []core.UpstreamID) (Target, *core.Refusal) {
	return choose(now, f, policy, r, tried, false)
}

// choose is Choose. With held, the request is at an upstream that may still answer: it isn't
// refused, and excluded upstreams are no better.
func choose[P Policy](now time.Time, f *Fleet, policy P, r Request, tried []core.UpstreamID, held bool) (Target, *core.Refusal) {
	eligible, pool := f.eligible(now, r, tried)
	if r.Origin.Begun && !r.Origin.Known {
		return Target{}, originUnknown()
	}
	if len(eligible) == 0 {
		return Target{}, f.noEntry(now, r)
	}
	if t, refusal, decided := f.chooseSlot(now, r, eligible, pool, tried, held); decided {
		return t, refusal
	}
	routers, rank, settled := f.membership(now)
	cached := table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []cachedTokens { return cachedTokensOf(now, m, eligible, r.SharedParts) })
	peerAge, neighbours := f.countAge(now)
	demanding := routers
	if policy.LocalOnly() {
		demanding = neighbours + 1
	}
	f.updateAllotments(now, lo.Map(eligible, func(u roster.Upstream, _ int) core.UpstreamID { return u.ID }))
	var best Candidate
	var all []Candidate
	var ask *Envelope
	var refusal *core.Refusal
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		all = f.candidates(now, st, r, eligible, cached, peerAge)
		setSlotShares(all, routers, rank, settled)
		bound := f.poolBound(now, st, pool, peerAge)
		st.setBound(r.Pool.Name, bound)
		if len(tried) == 0 && r.Asks == 0 {
			st.recordDemand(now, r)
		}
		engines := st.enginesFor(now, r, bound, demanding, peerAge)
		candidates := affordable(now, f.limitRamp(), r, len(tried) > 0, bound, willing(now, f.settings.Drain, permitted(r, all)))
		best, ask = firstWithQuota(candidates, func(left []Candidate) Candidate {
			bound.mark(policy.LocalOnly(), left)
			st.setExpectedLoads(now, r.Pool.Name, peerAge, left)
			left = usable(now, left, func(c Candidate) bool {
				return f.mayUseCold(now, c, r, routers, rank, settled)
			})
			if held {
				left = slices.DeleteFunc(left, func(c Candidate) bool { return c.Excluded })
			}
			markSpread(policy, engines, left)
			return preferred(policy, left)
		}, func(c Candidate) (bool, *Envelope) { return f.takeQuota(now, r, c) })
		switch {
		case best.state == nil && held:
			refusal = noUpstream("no other upstream takes the request")
		case best.state == nil:
			refusal = st.refuseChoice(now, r, all, routers)
		case ask == nil:
			best.state.load.Local++
			if best.Upstream.Cold(now) {
				best.state.cold.Add(now)
			}
		}
	})
	if refusal != nil || ask != nil {
		return Target{Upstream: best.Upstream, Ask: ask}, refusal
	}
	return f.newTarget(now, r, best, len(all)), nil
}

// newTarget returns the target for a chosen candidate.
func (f *Fleet) newTarget(now time.Time, r Request, best Candidate, candidates int) Target {
	t := Target{Upstream: best.Upstream, Load: best.Load, CachedTokens: best.CachedTokens, SharedTokens: prefix.TotalTokens(r.SharedParts), Certain: best.Certain, ChosenAt: now, CandidateCount: candidates}
	if r.Pool.Engine != nil && t.CachedTokens < t.SharedTokens {
		t.FetchFrom = f.fetchSource(now, r, best)
	}
	return t
}

// RecordPrefill records that an engine has the shared parts of a request's prompt in
// its cache. It does nothing for pools without engines.
func (f *Fleet) RecordPrefill(now time.Time, r Request, t Target) {
	if r.Pool.Engine == nil {
		return
	}
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		m.AddUsed(now, t.ID, r.SharedParts, r.Pool.Engine.CacheTokens)
	})
}

func noUpstream(message string) *core.Refusal {
	return notRunRefusal(http.StatusServiceUnavailable, codeNoUpstream, message)
}
