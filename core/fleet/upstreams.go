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

// Upstreams replaces what is known of upstreams by all entries of the store.
func (f *Fleet) Upstreams(now time.Time, entries []roster.Entry) []roster.Change {
	return f.put(now, func(r *roster.Roster) []roster.Change { return r.Replace(now, entries) }, true)
}

// Entered takes in an entry that an upstream has written.
func (f *Fleet) Entered(now time.Time, e roster.Entry) []roster.Change {
	return f.put(now, func(r *roster.Roster) []roster.Change { return changed(r.Put(now, e)) }, true)
}

// Removed takes in that an upstream's entry was removed.
func (f *Fleet) Removed(now time.Time, id core.UpstreamID) []roster.Change {
	return f.put(now, func(r *roster.Roster) []roster.Change { return changed(r.Remove(now, id)) }, true)
}

// Confirmed takes in that the store's entries were read from a time on. What
// other routers told before and the store hasn't shown is gone.
func (f *Fleet) Confirmed(now, began time.Time) []roster.Change {
	return f.put(now, func(r *roster.Roster) []roster.Change { return r.Confirm(now, began) }, false)
}

// Out takes data centres out of service; all others are in.
func (f *Fleet) Out(now time.Time, centres map[core.DataCentre]bool) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) { u.roster.Out(now, centres) })
}

// Store takes in whether the store answers what upstreams there are.
func (f *Fleet) Store(now time.Time, answers bool) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) { u.roster.Store(now, answers) })
}

// tellers is how many routers tell the others of a changed entry. Each router
// reads the store itself; the tellers serve those that can't.
const tellers = 2

// changed returns the change that a rule of the roster reports, if any.
func changed(c roster.Change, ok bool) []roster.Change {
	if !ok {
		return nil
	}
	return []roster.Change{c}
}

// put changes the roster and forgets what was known of processes that are no
// more. With tell, the next beat tells what has changed.
func (f *Fleet) put(now time.Time, change func(*roster.Roster) []roster.Change, tell bool) []roster.Change {
	var changes []roster.Change
	var routers []core.RouterID
	if tell {
		routers = f.ids(now)
	}
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		changes = change(&u.roster)
		for _, c := range changes {
			if up, ok := u.roster.Get(c.ID); ok && tell && up.Gone.IsZero() && f.ahead(c.ID, routers) < tellers {
				u.told = append(u.told, EntryCopy{Upstream: c.ID, Source: up.Source})
			}
			if c.Restarted {
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
		f.parts.Do(held, func(_ table.Hold, m *prefix.Map) { m.Forget(id) })
	})
	if up, ok := u.roster.Get(id); ok {
		f.suspects.Do(held, func(_ table.Hold, s *suspects) { s.crashed(now, up.Entry) })
	}
}
