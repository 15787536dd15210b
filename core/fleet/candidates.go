package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/ratelimit"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// eligible returns the upstreams of the request's pool that may get it: in service,
// in a permitted region and not yet tried. It also returns the whole pool, with the
// upstreams that get no new work but without removed ones.
func (f *Fleet) eligible(now time.Time, r Request, tried []core.UpstreamID) (eligible, pool []roster.Upstream) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool != r.Pool.Name {
				continue
			}
			if up.RemovedAt.IsZero() {
				pool = append(pool, up)
			}
			if u.roster.AcceptsWork(now, up) && f.regionAllowed(r, up) && !slices.Contains(tried, up.ID) {
				eligible = append(eligible, up)
			}
		}
	})
	return eligible, pool
}

// regionAllowed reports whether both the route and the account permit the
// upstream's region.
func (f *Fleet) regionAllowed(r Request, u roster.Upstream) bool {
	return f.dataCentreAllowed(r, u.DataCentre)
}

// dataCentreAllowed reports whether both the route and the account permit the region of a
// data centre.
func (f *Fleet) dataCentreAllowed(r Request, dc core.DataCentre) bool {
	region := f.settings.Regions[dc]
	for _, allowed := range [][]string{r.Route.Regions, r.Account.Regions} {
		if len(allowed) > 0 && !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}

// cachedTokens is an estimate of what an upstream has in its cache.
type cachedTokens struct {
	// shared is the number of tokens of one request's shared parts, total that of all
	// prompts.
	shared, total int
}

// cachedTokensOf returns the estimates for upstreams, in the given order.
func cachedTokensOf(now time.Time, m *prefix.Map, eligible []roster.Upstream, parts []prefix.Part) []cachedTokens {
	cached := make([]cachedTokens, len(eligible))
	for i, u := range eligible {
		cached[i] = cachedTokens{shared: m.CachedTokens(now, u.ID, parts), total: m.UsedPartTokens(u.ID)}
	}
	return cached
}

// candidates returns the eligible upstreams as candidates for a policy, without the
// fields that loadBound.mark sets. peerAge is the mean age of the other routers' counts.
func (f *Fleet) candidates(now time.Time, st *states, r Request, eligible []roster.Upstream, cached []cachedTokens, peerAge time.Duration) []Candidate {
	all := make([]Candidate, len(eligible))
	prompt := prefix.TotalTokens(r.SharedParts)
	for i, u := range eligible {
		s, reach := st.get(u.ID), st.reach(u.DataCentre)
		all[i] = Candidate{
			Upstream: u, Load: s.load.Total(now, peerAge), CachedTokens: cached[i].shared,
			PartsMissing: cached[i].shared < prompt, TotalCached: cached[i].total, Pace: s.pace.Factor(now),
			FailureRate: s.health.FailureRate(now), SameDataCentre: u.DataCentre == f.settings.DataCentre,
			Score: chat.Score(r.AffinityKey, string(u.ID)), Draw: chat.Score(r.draw, string(u.ID)), state: s,
			Excluded: s.excluded(now) || reach.Ejected(now), Limited: s.limited(now, u.StartedMS),
			Leaving: s.said.Leaving(u.StartedMS), TurnedAwayFor: s.said.TurnedAwayFor(now, u.StartedMS),
			Brittle: s.said.IsBrittle(now, u.StartedMS), Certain: s.doubt.Certain(now, u.StartedMS, u.Sequence),
			Broken: !s.broken.Certain(now, u.StartedMS, u.Sequence),
		}
		if 2*all[i].CachedTokens >= prompt {
			all[i].usefulTokens = all[i].CachedTokens
		}
	}
	return all
}

const (
	// boundFraction is the fraction of the permitted excess over the mean that is
	// used: the loads from other routers arrive with a delay.
	boundFraction = 0.8
	// boundSlack permits uneven small loads, in requests.
	boundSlack = 2
)

// loadBound bounds the load of each upstream of a pool, in requests.
type loadBound struct {
	// Most is the highest load that an upstream may have, Mean that of all upstreams.
	Most int
	Mean float64
	// Slots are those of all upstreams together.
	Slots int
}

// poolBound returns the bound for a pool, a multiple of the mean load plus a slack. The
// mean includes upstreams that get no new work, which lower it.
func (f *Fleet) poolBound(now time.Time, st *states, pool []roster.Upstream, peerAge time.Duration) loadBound {
	total, slots := 0, 0
	for _, u := range pool {
		slots += slotsOf(u)
		total += st.get(u.ID).load.Total(now, peerAge)
	}
	mean := float64(total) / float64(max(len(pool), 1))
	multiple := 1 + (max(f.settings.MaxLoadFactor, 1)-1)*boundFraction
	return loadBound{Most: int(multiple*mean) + boundSlack, Mean: mean, Slots: slots}
}

// mark sets OverBound on candidates that one more request would put over the bound,
// TopRanked on the first ones by rendezvous among the others, and Overflowing. The more
// engines that have the prompt are over the bound, the more are top-ranked; they are
// then those of the local data centre if it has any, as they are if requests go to that alone.
func (b loadBound) mark(localOnly bool, all []Candidate) {
	scores := make([]uint64, 0, len(all))
	var local []uint64
	full := 0
	for i, c := range all {
		all[i].OverBound = c.Load+1 > b.Most
		switch {
		case all[i].OverBound && c.usefulTokens > 0:
			full++
		case !all[i].OverBound:
			scores = append(scores, c.Score)
			if c.SameDataCentre {
				local = append(local, c.Score)
			}
		}
	}
	if (full > 0 || localOnly) && len(local) > 0 {
		scores = local
	}
	if len(scores) == 0 {
		return
	}
	slices.Sort(scores)
	least := scores[max(len(scores)-max(topChoices, overflowFactor*full), 0)]
	for i := range all {
		all[i].TopRanked, all[i].Overflowing = all[i].Score >= least, full > 0
	}
}

// setExpectedLoads sets ExpectedLoad on the candidates of a pool. peerAge is the mean
// age of the other routers' counts.
func (st *states) setExpectedLoads(now time.Time, p core.Pool, peerAge time.Duration, all []Candidate) {
	runTime := st.runTime(p)
	for i, c := range all {
		all[i].ExpectedLoad = c.state.load.Expected(now, peerAge, runTime)
	}
}

// usable returns the candidates to choose from. Cold upstreams are added once all
// warm ones are over the bound; excluded upstreams are used if there are no others.
func usable(now time.Time, all []Candidate, mayUseCold func(Candidate) bool) []Candidate {
	var warm, cold, excluded []Candidate
	full := true
	for _, c := range all {
		switch {
		case c.Upstream.Cold(now):
			if mayUseCold(c) {
				cold = append(cold, c)
			}
		case c.Excluded:
			excluded = append(excluded, c)
		default:
			warm = append(warm, c)
			full = full && c.OverBound
		}
	}
	switch {
	case !full:
		return warm
	case len(warm)+len(cold) > 0:
		return append(warm, cold...)
	default:
		return excluded
	}
}

// mayUseCold reports whether this router's share of a cold upstream's request rate
// permits one more request. The share is one request per second until the number of
// routers is known. A pool that states no rate sets no bound.
func (f *Fleet) mayUseCold(now time.Time, c Candidate, r Request, routers, rank int, settled bool) bool {
	if r.Pool.ColdRate <= 0 {
		return true
	}
	share := 1
	if settled {
		share = ratelimit.Share(int(r.Pool.ColdRate), routers, rank)
	}
	return c.state.cold.Count(now, time.Second) < share
}
