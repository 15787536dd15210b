package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// SetOutOfService replaces the set of data centres that are out of service.
func (f *Fleet) SetOutOfService(now time.Time, dataCentres map[core.DataCentre]bool) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) { u.roster.SetOutOfService(now, dataCentres) })
}

// IsLeaving reports whether an upstream's entry states that it leaves, or was removed.
func (f *Fleet) IsLeaving(id core.UpstreamID) bool {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) bool {
		up, known := u.roster.Get(id)
		return !known || up.Draining || !up.RemovedAt.IsZero()
	})
}

// changeRoster applies a change to the roster and resets what is known of upstreams
// that have restarted.
func (f *Fleet) changeRoster(now time.Time, held table.Hold, change func(*roster.Roster) []roster.Change) []roster.Change {
	var changes []roster.Change
	f.roster.Do(held, func(held table.Hold, u *upstreams) {
		changes = change(&u.roster)
		for _, c := range changes {
			if c.NewProcess {
				f.resetUpstream(now, held, u, c.ID)
			}
			up, ok := u.roster.Get(c.ID)
			switch {
			case ok && (c.Kind == "removed" || c.Kind == "returned"):
				f.recordPresence(now, held, up)
			case ok && c.Kind == "contradicted":
				f.states.Do(held, func(_ table.Hold, st *states) { st.get(c.ID).recordBroken(now, up) })
			}
		}
		f.noteReleases(now, held, u, changes)
	})
	return changes
}

// resetUpstream discards the health, reported load, statements and cache contents of an
// upstream's previous process, and counts requests on broken connections as crashes.
func (f *Fleet) resetUpstream(now time.Time, held table.Hold, u *upstreams, id core.UpstreamID) {
	f.states.Do(held, func(held table.Hold, st *states) {
		if s := st.byID[id]; s != nil {
			s.health = health.Record{}
			s.load = load.Tracker{Local: s.load.Local}
			s.pace = pace.Record{}
			if up, ok := u.roster.Get(id); ok {
				s.resetStatement(now, up.StartedMS)
			}
		}
		f.parts.Do(held, func(_ table.Hold, m *prefix.Map) { m.RemoveEngine(id) })
	})
	if up, ok := u.roster.Get(id); ok {
		f.suspects.Do(held, func(_ table.Hold, s *suspects) { s.recordProcess(now, up.Entry) })
	}
}
