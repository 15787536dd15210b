package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Out takes data centres out of service; all others are in.
func (f *Fleet) Out(now time.Time, centres map[core.DataCentre]bool) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) { u.roster.SetOutOfService(now, centres) })
}

// put changes the roster and forgets what was known of processes that are no
// more.
func (f *Fleet) put(now time.Time, held table.Hold, change func(*roster.Roster) []roster.Change) []roster.Change {
	var changes []roster.Change
	f.roster.Do(held, func(held table.Hold, u *upstreams) {
		changes = change(&u.roster)
		for _, c := range changes {
			if c.NewProcess {
				f.restart(now, held, u, c.ID)
			}
		}
	})
	return changes
}

// restart forgets what was known of an upstream's earlier process.
func (f *Fleet) restart(now time.Time, held table.Hold, u *upstreams, id core.UpstreamID) {
	f.loads.Do(held, func(held table.Hold, l *loads) {
		if s := l.byID[id]; s != nil {
			s.health = health.Record{}
			s.load = load.Book{Own: s.load.Own}
		}
		f.parts.Do(held, func(_ table.Hold, m *prefix.Map) { m.RemoveEngine(id) })
	})
	if up, ok := u.roster.Get(id); ok {
		f.suspects.Do(held, func(_ table.Hold, s *suspects) { s.crashed(now, up.Entry) })
	}
}
