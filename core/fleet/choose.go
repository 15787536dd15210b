package fleet

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/pace"
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
	// Broken is true if a connection to the process has broken, or was closed earlier than the
	// upstream had stated, since it was last known to live:
	// a stream that begins there asks for its identity.
	Broken bool
	// Identified is true once the process has stated, on the connection of the attempt, that it is the
	// one of the entry.
	Identified bool
	// ChosenAt is when the target was chosen.
	ChosenAt time.Time
	// Route is the name of the request's route, Engine true if its pool is one of engines.
	Route  string
	Engine bool
	// Pace is how many times longer than usual work was expected to take on the host when it
	// was chosen, Work what the target has to do until its answer begins.
	Pace float64
	Work pace.Work
	// Away is why it is in another data centre in spite of what the link costs.
	Away locality.Reason
	// CandidateCount is the number of upstreams that were eligible.
	CandidateCount int
	// Ask is not nil if the upstream is limited and this router has to ask another one
	// before it sends a request there. The target isn't an attempt then: the request is
	// to choose again once a response has come, or has not.
	Ask *Envelope
	// Rollout is the attempt's part in a roll-out; nil if none is running.
	Rollout *RolloutAttempt
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
	a := among{eligible: eligible, pool: pool, retry: len(tried) > 0, held: held}
	a.choice = f.chooseRelease(now, r, a.retry || held, eligible)
	if a.choice.open(eligible) {
		if t, refusal, decided := f.chooseSlot(now, r, eligible, pool, tried, held); decided {
			return t, refusal
		}
	} else {
		f.returnUnusedSlot(r)
	}
	return chooseAmong(now, f, policy, r, a)
}

// chooseFrom selects an upstream among the eligible ones, of which there is at least one.
func chooseFrom[P Policy](now time.Time, f *Fleet, policy P, r Request, a among) (Target, *core.Refusal) {
	routers, rank, settled := f.membership(now)
	cached := table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []cachedTokens { return cachedTokensOf(now, m, a.eligible, r.SharedParts) })
	peerAge, neighbours := f.countAge(now)
	demanding := routers
	if policy.LocalOnly() {
		demanding = neighbours + 1
	}
	f.updateAllotments(now, lo.Map(a.eligible, func(u roster.Upstream, _ int) core.UpstreamID { return u.ID }))
	var best Candidate
	var all []Candidate
	var ask *Envelope
	var refusal *core.Refusal
	var place placement
	contacts := f.contactsWith(now)
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		all = f.candidates(now, st, r, a.eligible, cached, peerAge)
		setSlotShares(all, routers, rank, settled)
		bound := f.poolBound(now, st, a.pool, peerAge)
		st.setBound(r.Pool.Name, bound)
		if !a.retry && r.Asks == 0 {
			st.recordDemand(now, r)
		}
		engines := st.enginesFor(now, r, bound, demanding, peerAge)
		candidates := affordable(now, f.limitRamp(), r, a.retry, bound, willing(now, f.settings.Drain, permitted(r, all)))
		place = placement{demand: st.demandOf(r, all, f.settings.Links), links: f.linkCostsOf(st, r, bound, routers, contacts)}
		best, ask = firstWithQuota(candidates, func(left []Candidate) Candidate {
			bound.mark(policy.LocalOnly(), left)
			st.setExpectedLoads(now, r.Pool.Name, peerAge, left)
			left = usable(now, left, func(c Candidate) bool {
				return f.mayUseCold(now, c, r, routers, rank, settled)
			})
			if a.held || a.underBound {
				left = slices.DeleteFunc(left, func(c Candidate) bool { return c.Excluded || (a.underBound && c.OverBound) })
			}
			markSpread(policy, engines, left)
			return preferredByLink(now, policy, &place, left)
		}, func(c Candidate) (bool, *Envelope) { return f.takeQuota(now, r, c) })
		switch {
		case best.state == nil && a.held:
			refusal = noUpstream("no other upstream takes the request")
		case best.state == nil && a.underBound:
			refusal = noUpstream("no upstream of the new release has room")
		case best.state == nil:
			refusal = st.refuseChoice(now, r, all, routers)
		case ask == nil:
			best.begin(now)
		}
	})
	if refusal != nil || ask != nil {
		return Target{Upstream: best.Upstream, Ask: ask}, refusal
	}
	return f.newTarget(now, r, best, len(all), place), nil
}

// begin counts an attempt at the upstream.
func (c Candidate) begin(now time.Time) {
	c.state.load.Local++
	if c.Upstream.Cold(now) {
		c.state.cold.Add(now)
	}
}

// newTarget returns the target for a chosen candidate.
func (f *Fleet) newTarget(now time.Time, r Request, best Candidate, candidates int, p placement) Target {
	t := Target{
		Upstream: best.Upstream, Load: best.Load, CachedTokens: best.CachedTokens, SharedTokens: prefix.TotalTokens(r.SharedParts), Certain: best.Certain, Broken: best.Broken, ChosenAt: now, CandidateCount: candidates,
		Route: r.Route.Name, Engine: r.Pool.Engine != nil, Pace: best.Pace, Work: p.demand.work(best), Away: p.away,
	}
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
