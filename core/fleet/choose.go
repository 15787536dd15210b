package fleet

import (
	"net/http"
	"strconv"
	"time"

	"camphorpulley.org/core"
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
	return string(e.ID) + "/" + strconv.FormatInt(e.StartedMS, 10)
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
		all = f.candidates(now, l, r, open, held)
		f.bound(now, l, pool).mark(all)
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
	t := Target{Upstream: best.Upstream, Load: best.Load, Held: best.Held, Prompt: prefix.TotalTokens(r.Shared), Chosen: now, Candidates: len(all)}
	if r.Pool.Engine != nil && t.Held < t.Prompt {
		t.Fetch = f.source(now, r, best)
	}
	return t, nil
}

// Began takes in that an engine has read the prompt of a request.
func (f *Fleet) Began(now time.Time, r Request, t Target) {
	if r.Pool.Engine == nil {
		return
	}
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		m.AddUsed(now, t.ID, r.Shared, r.Pool.Engine.CacheTokens)
	})
}

func noUpstream(message string) *core.Refusal {
	return notRun(http.StatusServiceUnavailable, codeNoUpstream, message)
}
