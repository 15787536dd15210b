package fleet

import (
	"time"

	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// source returns the address of the engine that has the most of what the
// chosen one lacks. One that is leaving, or that has lost an attempt but still
// runs, gives what it has. If none is known to have anything, it is the engine
// that comes first for the prompt: it has what was read before the router
// started.
func (f *Fleet) source(now time.Time, r Request, chosen Candidate) string {
	best := Candidate{Held: chosen.Held}
	for _, c := range f.sources(now, r) {
		if c.Upstream.ID == chosen.Upstream.ID || c.Lost {
			continue
		}
		if c.Held > best.Held || (c.Held == best.Held && c.Score > best.Score) {
			best = c
		}
	}
	return best.Upstream.Address
}

// sources returns the pool's engines that serve. Those that are leaving come
// without a score; those of a data centre that went out of service are left alone
// after half of the time in which they may still get work.
func (f *Fleet) sources(now time.Time, r Request) []Candidate {
	var all []Candidate
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool != r.Pool.Name || !f.home(r, up) {
				continue
			}
			if u.roster.AcceptsWork(now, up) {
				all = append(all, Candidate{Upstream: up, Score: chat.Score(r.Key, string(up.ID))})
			} else if u.roster.IsDraining(now, up, f.settings.Drain, f.settings.Evacuation/2) {
				all = append(all, Candidate{Upstream: up})
			}
		}
		f.loads.Do(held, func(held table.Hold, l *loads) {
			for i, c := range all {
				all[i].Lost = l.of(c.Upstream.ID).lost(now) || l.centre(c.Upstream.DataCentre).Cut(now)
			}
			f.parts.Do(held, func(_ table.Hold, m *prefix.Map) {
				for i, c := range all {
					all[i].Held = m.CachedTokens(now, c.Upstream.ID, r.Shared)
				}
			})
		})
	})
	return all
}
