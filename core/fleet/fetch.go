package fleet

import (
	"time"

	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// fetchSource returns the address of the engine that has the most of the prompt in
// its cache, if that is more than the chosen one has. If no cache is known to hold
// more, it is the engine with the highest rendezvous score among those with as much:
// prompts that ran before the router started ran there. The address is empty if there
// is neither. An engine may serve as a source while it drains, or after a contact
// failure if it still runs, but not while it has turned this router away.
func (f *Fleet) fetchSource(now time.Time, r Request, chosen Candidate) string {
	best := Candidate{CachedTokens: chosen.CachedTokens}
	for _, c := range f.fetchCandidates(now, r) {
		if c.Upstream.ID == chosen.Upstream.ID || c.Unreachable || c.TurnedAwayFor > 0 {
			continue
		}
		if c.CachedTokens > best.CachedTokens || (c.CachedTokens == best.CachedTokens && c.Score > best.Score) {
			best = c
		}
	}
	return best.Upstream.Address
}

// fetchCandidates returns the pool's engines that prompts may be fetched from. Those
// that still serve but get no new work have no score. Engines of a data centre that
// went out of service are omitted after half of the evacuation time.
func (f *Fleet) fetchCandidates(now time.Time, r Request) []Candidate {
	var all []Candidate
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if up.Pool != r.Pool.Name || !f.regionAllowed(r, up) {
				continue
			}
			if u.roster.AcceptsWork(now, up) {
				all = append(all, Candidate{Upstream: up, Score: chat.Score(r.AffinityKey, string(up.ID))})
			} else if u.roster.IsDraining(now, up, f.settings.Drain, f.settings.Evacuation/2) {
				all = append(all, Candidate{Upstream: up})
			}
		}
		f.states.Do(held, func(held table.Hold, st *states) {
			for i, c := range all {
				s := st.get(c.Upstream.ID)
				all[i].Unreachable = s.unreachable(now) || st.reach(c.Upstream.DataCentre).Partitioned(now)
				all[i].TurnedAwayFor = s.said.TurnedAwayFor(now, c.Upstream.StartedMS)
			}
			f.parts.Do(held, func(_ table.Hold, m *prefix.Map) {
				for i, c := range all {
					all[i].CachedTokens = m.CachedTokens(now, c.Upstream.ID, r.SharedParts)
				}
			})
		})
	})
	return all
}
