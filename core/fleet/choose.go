package fleet

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Target is the upstream that is to get an attempt.
type Target struct {
	roster.Upstream
	// Fetch is the address of another engine that has parts of the prompt which
	// the target lacks; empty if there is none.
	Fetch string
	// Load is the estimate that decided, and Held the tokens of the prompt that
	// the target was taken to have.
	Load, Held int
	// Prompt is how many tokens of the prompt others may share.
	Prompt int
	// Chosen is when the target was chosen.
	Chosen time.Time
	// Candidates is how many upstreams could be chosen.
	Candidates int
}

// process names an upstream's process.
func process(e roster.Entry) string {
	return string(e.ID) + "/" + strconv.FormatInt(e.Born, 10)
}

// Choose returns the upstream for the next attempt of a request, without those
// that were tried. The attempt counts as running until Finish.
func Choose[P Policy](now time.Time, f *Fleet, policy P, r Request, tried []core.UpstreamID) (Target, *core.Refusal) {
	open, pool := f.open(now, r, tried)
	if len(open) == 0 {
		return Target{}, noUpstream("no upstream of the pool is in service")
	}
	routers, rank, settled := f.place(now)
	held := table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []holding { return holdings(now, m, open, r.Shared) })
	var best Candidate
	var all []Candidate
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) {
		all = f.candidates(now, *l, r, open, held)
		f.bound(now, *l, pool).mark(all)
		best = choose(policy, usable(now, all, func(c Candidate) bool {
			return f.mayWarm(now, c, r, routers, rank, settled)
		}))
		if best.state == nil {
			return
		}
		best.state.load.Own++
		if best.Upstream.Cold(now) {
			best.state.cold.Add(now)
		}
	})
	if best.state == nil {
		return Target{}, noUpstream("the upstreams of the pool are warming up")
	}
	t := Target{Upstream: best.Upstream, Load: best.Load, Held: best.Held, Prompt: prefix.Sum(r.Shared), Chosen: now, Candidates: len(all)}
	if r.Pool.Engine != nil && t.Held < t.Prompt {
		t.Fetch = f.source(now, r, all, best)
	}
	return t, nil
}

// Began takes in that an engine has read the prompt of a request.
func (f *Fleet) Began(now time.Time, r Request, t Target) {
	if r.Pool.Engine == nil {
		return
	}
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		m.Read(now, t.ID, r.Shared, r.Pool.Engine.MemoryTokens)
	})
}

func noUpstream(message string) *core.Refusal {
	return notRun(http.StatusServiceUnavailable, codeNoUpstream, message)
}

// open returns the upstreams that the rules permit for a request, and all that
// the pool has, also those that get no new work.
func (f *Fleet) open(now time.Time, r Request, tried []core.UpstreamID) (open, pool []roster.Upstream) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool != r.Pool.Name {
				continue
			}
			if up.Gone.IsZero() {
				pool = append(pool, up)
			}
			if u.roster.Open(now, up) && f.home(r, up) && !slices.Contains(tried, up.ID) {
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
		held[i] = holding{prompt: m.Tokens(now, u.ID, parts), all: m.Stored(u.ID)}
	}
	return held
}

// candidates describes the open upstreams for a policy.
func (f *Fleet) candidates(now time.Time, l loads, r Request, open []roster.Upstream, held []holding) []Candidate {
	all := make([]Candidate, len(open))
	prompt := prefix.Sum(r.Shared)
	for i, u := range open {
		s := l.of(u.ID)
		all[i] = Candidate{
			Upstream: u, Load: s.load.Total(now), Held: held[i].prompt,
			Lacks: held[i].prompt < prompt, Stored: held[i].all,
			Failing: s.health.Failing(now), Near: u.DataCentre == f.settings.DataCentre,
			Score: chat.Score(r.Key, string(u.ID)), state: s,
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
	boundPart = 0.5
	// boundSlack lets small loads be uneven, in requests.
	boundSlack = 2
)

// bound is how many requests an upstream may hold.
type bound int

// bound returns the bound for a pool. The mean is that of all its upstreams:
// those that get no new work lower it.
func (f *Fleet) bound(now time.Time, l loads, pool []roster.Upstream) bound {
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
		s := c.state
		switch {
		case c.Upstream.Cold(now):
			if mayWarm(c) {
				cold = append(cold, c)
			}
		case s.health.Resting(now), s.health.Doubtful(now) && s.load.Own > 0:
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

// source returns the address of the engine that has the most of what the
// chosen one lacks. One that is leaving still gives what it has. If none is
// known to have anything, it is the engine that comes first for the prompt: it
// has what was read before the router started.
func (f *Fleet) source(now time.Time, r Request, all []Candidate, chosen Candidate) string {
	best := Candidate{Held: chosen.Held}
	for _, c := range append(f.leaving(now, r), all...) {
		if c.Upstream.ID == chosen.Upstream.ID || (c.state != nil && c.state.health.Losses > 0) {
			continue
		}
		if c.Held > best.Held || (c.Held == best.Held && c.Score > best.Score) {
			best = c
		}
	}
	return best.Upstream.Address
}

// leaving returns the pool's engines that are leaving but still serve. Those of
// a data centre that went out of service are left alone after half of the time
// in which they may still get work.
func (f *Fleet) leaving(now time.Time, r Request) []Candidate {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) []Candidate {
		var all []Candidate
		for _, up := range u.roster.All() {
			if up.Pool == r.Pool.Name && u.roster.Leaving(now, up, f.settings.Evacuation/2) {
				all = append(all, Candidate{Upstream: up})
			}
		}
		f.parts.Do(table.Hold{Rank: table.RankUpstreams}, func(_ table.Hold, m *prefix.Map) {
			for i := range all {
				all[i].Held = m.Tokens(now, all[i].Upstream.ID, r.Shared)
			}
		})
		return all
	})
}

// Finish takes in how an attempt ended. Report is nil if the upstream said
// nothing of its load. It reports whether a rest has begun.
func (f *Fleet) Finish(now time.Time, t Target, o health.Outcome, report *load.Report) bool {
	var rest bool
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) {
		s := l.of(t.ID)
		if o == health.Silent && s.alive.After(t.Chosen) {
			o = health.Slow
		}
		s.load.Own = max(s.load.Own-1, 0)
		if report != nil {
			s.load.Report(now, *report)
		}
		if o == health.Good {
			s.good, s.alive = now, now
			s.fine++
			s.rested = false
		}
		if o == health.Failed {
			s.bad++
		}
		if rest = s.health.Note(now, o); rest {
			s.rested = true
		}
	})
	return rest
}

// Alive takes in that something has come from an upstream.
func (f *Fleet) Alive(now time.Time, t Target) {
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) { l.of(t.ID).alive = now })
}

// Loaded takes in what an upstream said of its load while it runs an attempt.
func (f *Fleet) Loaded(now time.Time, t Target, report load.Report) {
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) { l.of(t.ID).load.Report(now, report) })
}
