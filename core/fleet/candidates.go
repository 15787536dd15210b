package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// open returns the upstreams that the rules permit for a request, and all that
// the pool has, also those that get no new work.
func (f *Fleet) open(now time.Time, r Request, tried []core.UpstreamID) (open, pool []roster.Upstream) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool != r.Pool.Name {
				continue
			}
			if up.RemovedAt.IsZero() {
				pool = append(pool, up)
			}
			if u.roster.AcceptsWork(now, up) && f.home(r, up) && !slices.Contains(tried, up.ID) {
				open = append(open, up)
			}
		}
	})
	return open, pool
}

// home reports whether a request may run in an upstream's region.
func (f *Fleet) home(r Request, u roster.Upstream) bool {
	region := f.settings.Regions[u.DataCentre]
	for _, homes := range [][]string{r.Route.Regions, r.Account.Regions} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// holding is what an upstream is taken to have in its cache.
type holding struct {
	// prompt is how many tokens of a prompt it has, all of any prompts.
	prompt, all int
}

func holdings(now time.Time, m *prefix.Map, open []roster.Upstream, parts []prefix.Part) []holding {
	held := make([]holding, len(open))
	for i, u := range open {
		held[i] = holding{prompt: m.CachedTokens(now, u.ID, parts), all: m.StoredTokens(u.ID)}
	}
	return held
}

// candidates describes the open upstreams for a policy.
func (f *Fleet) candidates(now time.Time, l *loads, r Request, open []roster.Upstream, held []holding) []Candidate {
	all := make([]Candidate, len(open))
	prompt := prefix.TotalTokens(r.Shared)
	for i, u := range open {
		s, way := l.of(u.ID), l.centre(u.DataCentre)
		all[i] = Candidate{
			Upstream: u, Load: s.load.Total(now), Held: held[i].prompt,
			Lacks: held[i].prompt < prompt, Stored: held[i].all,
			Failing: s.health.Failing(now), Near: u.DataCentre == f.settings.DataCentre,
			Score: chat.Score(r.Key, string(u.ID)), state: s,
			Rests: s.rests(now) || way.Resting(now),
		}
		if 2*all[i].Held >= prompt {
			all[i].useful = all[i].Held
		}
	}
	return all
}

const (
	// boundPart is the part of the permitted excess over the mean that is used:
	// the loads of other routers are known with a delay.
	boundPart = 0.8
	// boundSlack lets small loads be uneven, in requests.
	boundSlack = 2
)

// bound is how many requests an upstream may hold.
type bound int

// bound returns the bound for a pool. The mean is that of all its upstreams:
// those that get no new work lower it.
func (f *Fleet) bound(now time.Time, l *loads, pool []roster.Upstream) bound {
	total := 0
	for _, u := range pool {
		total += l.of(u.ID).load.Total(now)
	}
	mean := float64(total) / float64(max(len(pool), 1))
	multiple := 1 + (max(f.settings.Multiple, 1)-1)*boundPart
	return bound(multiple*mean) + boundSlack
}

// mark marks the candidates that one more request would put over the bound, and
// those that come first among the others.
func (b bound) mark(all []Candidate) {
	scores := make([]uint64, 0, len(all))
	for i := range all {
		if all[i].Over = all[i].Load+1 > int(b); !all[i].Over {
			scores = append(scores, all[i].Score)
		}
	}
	if len(scores) == 0 {
		return
	}
	slices.Sort(scores)
	least := scores[max(len(scores)-firstChoices, 0)]
	for i := range all {
		all[i].First = all[i].Score >= least
	}
}

// usable returns the candidates that should get work now. Cold upstreams count
// once the warm ones are full, and those that are left alone if there are no
// others.
func usable(now time.Time, all []Candidate, mayWarm func(Candidate) bool) []Candidate {
	var warm, cold, resting []Candidate
	full := true
	for _, c := range all {
		switch {
		case c.Upstream.Cold(now):
			if mayWarm(c) {
				cold = append(cold, c)
			}
		case c.Rests:
			resting = append(resting, c)
		default:
			warm = append(warm, c)
			full = full && c.Over
		}
	}
	switch {
	case !full:
		return warm
	case len(warm)+len(cold) > 0:
		return append(warm, cold...)
	default:
		return resting
	}
}

// mayWarm reports whether the router's part of a cold upstream's rate has room
// for one more request.
func (f *Fleet) mayWarm(now time.Time, c Candidate, r Request, routers, rank int, settled bool) bool {
	share := 1
	if settled {
		share = pace.Share(int(r.Pool.ColdRate), routers, rank)
	}
	return c.state.cold.Count(now, time.Second) < share
}
