package fleet

import (
	"time"

	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

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
	var all []Candidate
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool == r.Pool.Name && u.roster.Leaving(now, up, f.settings.Evacuation/2) {
				all = append(all, Candidate{Upstream: up})
			}
		}
		f.parts.Do(held, func(_ table.Hold, m *prefix.Map) {
			for i := range all {
				all[i].Held = m.Tokens(now, all[i].Upstream.ID, r.Shared)
			}
		})
	})
	return all
}
