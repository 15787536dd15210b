package fleet

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// Status is what a router believes, for operators.
type Status struct {
	Router     core.RouterID   `json:"router"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is that of the configuration in force; zero if there is none.
	Version uint64 `json:"version"`
	// Ready says why the router gets no connections; empty if it does.
	Ready Readiness `json:"ready"`
	// Reader is set if the router reads the upstreams' entries for others. They are
	// known as of KnownMS milliseconds ago.
	Reader    bool             `json:"reader"`
	KnownMS   int64            `json:"known_ms"`
	Peers     []PeerStatus     `json:"peers"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// PeerStatus is another router as this one sees it.
type PeerStatus struct {
	Router     core.RouterID   `json:"router"`
	DataCentre core.DataCentre `json:"data_centre"`
	// SilentMS is the time since its last message in milliseconds; negative if none
	// has come.
	SilentMS int64 `json:"silent_ms"`
}

// UpstreamStatus is an upstream as the router sees it.
type UpstreamStatus struct {
	ID         core.UpstreamID `json:"id"`
	Pool       core.Pool       `json:"pool"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Left says why the upstream gets no work, or little; empty if it gets its part.
	Left LeftAlone `json:"left"`
	// ForMS is how much longer a rest or the cold time lasts, in milliseconds.
	ForMS int64 `json:"for_ms"`
	// Own is the number of the router's own requests there, Load that of all.
	Own  int `json:"own"`
	Load int `json:"load"`
	// Failing is the share of failures among recent outcomes.
	Failing float64 `json:"failing"`
	// AliveMS is the time since something came from it in milliseconds; negative if
	// nothing has.
	AliveMS int64 `json:"alive_ms"`
	// Stored is how many tokens of prompts it is taken to have.
	Stored int `json:"stored"`
}

// LeftAlone says why an upstream gets no work, or little.
type LeftAlone string

// Reasons to leave an upstream alone; empty if there is none.
const (
	NotLeft  LeftAlone = ""
	Gone     LeftAlone = "gone"
	Draining LeftAlone = "draining"
	OutOf    LeftAlone = "data_centre_out"
	Behind   LeftAlone = "data_centre_cut"
	Rests    LeftAlone = "rests"
	Doubted  LeftAlone = "doubted"
	Warming  LeftAlone = "cold"
)

// Status returns what the router believes.
func (f *Fleet) Status(now time.Time) Status {
	s := Status{
		Router: f.settings.ID, DataCentre: f.settings.DataCentre, Version: f.Version(), Ready: f.Ready(now), Reader: f.reader(now),
	}
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		for _, m := range p.byID {
			s.Peers = append(s.Peers, PeerStatus{Router: m.ID, DataCentre: m.DataCentre, SilentMS: age(now, m.heard)})
		}
	})
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Router, b.Router) })
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		s.KnownMS = age(now, p.KnownUntil)
		f.roster.Do(held, func(held table.Hold, u *upstreams) {
			f.loads.Do(held, func(held table.Hold, l *loads) { s.Upstreams = f.describe(now, u, l) })
		})
	})
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		for i := range s.Upstreams {
			s.Upstreams[i].Stored = m.StoredTokens(s.Upstreams[i].ID)
		}
	})
	return s
}

func (f *Fleet) describe(now time.Time, u *upstreams, l *loads) []UpstreamStatus {
	all := make([]UpstreamStatus, 0, len(u.roster.All()))
	for _, up := range u.roster.All() {
		state, way := l.of(up.ID), l.centre(up.DataCentre)
		d := UpstreamStatus{
			ID: up.ID, Pool: up.Pool, DataCentre: up.DataCentre, Own: state.load.Own, Load: state.load.Total(now),
			Failing: state.health.Failing(now), AliveMS: age(now, state.alive),
		}
		switch {
		case up.Draining:
			d.Left = Draining
		case !u.roster.InService(up.DataCentre):
			d.Left = OutOf
		case !u.roster.AcceptsWork(now, up):
			d.Left = Gone
		default:
			d.Left, d.ForMS = state.left(now, way)
			if d.Left == NotLeft && up.Cold(now) {
				d.Left, d.ForMS = Warming, up.ColdUntil.Sub(now).Milliseconds()
			}
		}
		all = append(all, d)
	}
	return all
}

// left returns why an upstream that is in service is left alone, and for how many
// milliseconds.
func (s *state) left(now time.Time, way *health.Centre) (LeftAlone, int64) {
	switch {
	case s.health.Resting(now):
		return Rests, s.health.Until.Sub(now).Milliseconds()
	case way.Cut(now):
		return Behind, 0
	case s.health.Doubtful(now):
		return Doubted, 0
	}
	return NotLeft, 0
}

// age returns the milliseconds since a time; negative for the zero time.
func age(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
