package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// Status is a router's view of the fleet, for operators.
type Status struct {
	Router     core.RouterID   `json:"router"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is that of the catalog in force; zero if there is none.
	Version uint64 `json:"version"`
	// Readiness is the reason why the router gets no connections; empty if it does.
	Readiness Readiness `json:"ready"`
	// Reader is true if the router reads the upstreams' entries for others.
	// EntriesAgeMS is the age of its view of the entries in milliseconds; -1 if it
	// has none.
	Reader       bool  `json:"reader"`
	EntriesAgeMS int64 `json:"known_ms"`
	// MessageDelayMS is the longest recent delay of messages from other routers in
	// milliseconds.
	MessageDelayMS int64            `json:"late_ms"`
	Peers          []PeerStatus     `json:"peers"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
	// Rollouts are the newest ones of each pool.
	Rollouts []RolloutView `json:"rollouts"`
	// RefusedParts are the parts of prompts under which requests are refused, in
	// hexadecimal as in the log.
	RefusedParts []string `json:"refused"`
}

// PeerStatus is another router as this one sees it.
type PeerStatus struct {
	Router     core.RouterID   `json:"router"`
	DataCentre core.DataCentre `json:"data_centre"`
	// LastSeenAgoMS is the time since its last message in milliseconds; -1 if there was
	// none.
	LastSeenAgoMS int64 `json:"silent_ms"`
}

// UpstreamStatus is an upstream as the router sees it.
type UpstreamStatus struct {
	ID         core.UpstreamID `json:"id"`
	Pool       core.Pool       `json:"pool"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Exclusion is the reason why the upstream gets no work, or little; empty if
	// there is none.
	Exclusion Exclusion `json:"left"`
	// RemainingMS is the time left of the ejection or of the cold period in
	// milliseconds.
	RemainingMS int64 `json:"for_ms"`
	// LocalRequests is the number of this router's requests at the upstream, Load the
	// estimated number of all routers.
	LocalRequests int `json:"own"`
	Load          int `json:"load"`
	// FailureRate is the fraction of failures among recent outcomes.
	FailureRate float64 `json:"failing"`
	// LastSeenAgoMS is the time since the upstream last sent something in
	// milliseconds; -1 if it has sent nothing.
	LastSeenAgoMS int64 `json:"alive_ms"`
	// CachedTokens is the estimated number of prompt tokens in its cache.
	CachedTokens int `json:"stored"`
	// Pace is how long work is expected to take on the upstream's host, in hundredths of what
	// is usual. PaceAgeMS is the age of the last observation in milliseconds; -1 if there is
	// none.
	Pace      int   `json:"pace"`
	PaceAgeMS int64 `json:"pace_ms"`
}

// Exclusion is a reason why an upstream gets no work, or little.
type Exclusion string

// Values of Exclusion. NotExcluded means that the upstream gets work as usual.
const (
	NotExcluded           Exclusion = ""
	Removed               Exclusion = "gone"
	Draining              Exclusion = "draining"
	DataCentreOut         Exclusion = "data_centre_out"
	DataCentreUnreachable Exclusion = "data_centre_cut"
	Ejected               Exclusion = "rests"
	Degraded              Exclusion = "doubted"
	Cold                  Exclusion = "cold"
	Limited               Exclusion = "limited"
	TurnedAway            Exclusion = "turned_away"
)

// Status returns the router's view of the fleet.
func (f *Fleet) Status(now time.Time) Status {
	s := Status{
		Router: f.settings.ID, DataCentre: f.settings.DataCentre, Version: f.CatalogVersion(), Readiness: f.Readiness(now), Reader: f.isReader(now),
		MessageDelayMS: f.MessageDelay(now).Milliseconds(), Rollouts: f.Rollouts(now),
	}
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		for _, m := range p.byID {
			s.Peers = append(s.Peers, PeerStatus{Router: m.ID, DataCentre: m.DataCentre, LastSeenAgoMS: millisSince(now, m.lastSeen)})
		}
	})
	peerAge, _ := f.countAge(now)
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Router, b.Router) })
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		s.EntriesAgeMS = millisSince(now, p.KnownUntil)
		f.roster.Do(held, func(held table.Hold, u *upstreams) {
			f.states.Do(held, func(held table.Hold, st *states) { s.Upstreams = f.upstreamStatuses(now, u, st, peerAge) })
		})
	})
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		for i := range s.Upstreams {
			s.Upstreams[i].CachedTokens = m.UsedPartTokens(s.Upstreams[i].ID)
		}
	})
	for _, id := range f.refusedParts() {
		s.RefusedParts = append(s.RefusedParts, strconv.FormatUint(uint64(id), 16))
	}
	return s
}

// upstreamStatuses returns the status of each upstream.
func (f *Fleet) upstreamStatuses(now time.Time, u *upstreams, st *states, peerAge time.Duration) []UpstreamStatus {
	all := make([]UpstreamStatus, 0, len(u.roster.All()))
	for _, up := range u.roster.All() {
		state, reach := st.get(up.ID), st.reach(up.DataCentre)
		d := UpstreamStatus{
			ID: up.ID, Pool: up.Pool, DataCentre: up.DataCentre, LocalRequests: state.load.Local, Load: state.load.Total(now, peerAge),
			FailureRate: state.health.FailureRate(now), LastSeenAgoMS: millisSince(now, state.lastSeen),
			Pace: int(100 * state.pace.Factor(now)), PaceAgeMS: millisSince(now, state.pace.At),
		}
		switch {
		case up.Draining, state.said.Leaving(up.StartedMS):
			d.Exclusion = Draining
		case !u.roster.InService(up.DataCentre):
			d.Exclusion = DataCentreOut
		case !u.roster.AcceptsWork(now, up):
			d.Exclusion = Removed
		default:
			d.Exclusion, d.RemainingMS = state.exclusion(now, reach)
			switch {
			case d.Exclusion != NotExcluded:
			case up.Cold(now):
				d.Exclusion, d.RemainingMS = Cold, up.ColdUntil.Sub(now).Milliseconds()
			case state.said.TurnedAwayFor(now, up.StartedMS) > 0:
				d.Exclusion, d.RemainingMS = TurnedAway, state.said.TurnedAwayFor(now, up.StartedMS).Milliseconds()
			case state.limited(now, up.StartedMS):
				d.Exclusion = Limited
			}
		}
		all = append(all, d)
	}
	return all
}

// exclusion returns why an upstream that is in service gets no work or little, and the
// time left of its ejection in milliseconds.
func (s *state) exclusion(now time.Time, reach *health.Reachability) (Exclusion, int64) {
	switch {
	case s.health.Ejected(now):
		return Ejected, s.health.EjectedUntil.Sub(now).Milliseconds()
	case reach.Partitioned(now):
		return DataCentreUnreachable, 0
	case s.health.Degraded(now):
		return Degraded, 0
	}
	return NotExcluded, 0
}

// millisSince returns the milliseconds since a time; -1 for the zero time.
func millisSince(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
