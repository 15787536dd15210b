package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// InventoryTargets returns the engines whose cache inventory the router should query
// after its start: those for which it ranks first among the routers by rendezvous, so
// that each engine is queried once when all routers start. Engines that leave, limit
// their requests or have turned this router away are left out. It reports false until the router knows the catalog, the
// upstreams and the other routers.
func (f *Fleet) InventoryTargets(now time.Time) ([]roster.Upstream, bool) {
	c := f.Catalog()
	if _, _, settled := f.membership(now); c == nil || !settled || len(f.inService(now)) == 0 {
		return nil, false
	}
	routers := f.routerIDs(now)
	var engines []roster.Upstream
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			engines = slices.DeleteFunc(slices.Clone(u.roster.All()), func(up roster.Upstream) bool {
				return c.Pools[up.Pool].Engine == nil || !u.roster.AcceptsWork(now, up) || f.routersAhead(up.ID, routers) > 0 ||
					st.get(up.ID).wantsNoInventory(now, up.StartedMS)
			})
		})
	})
	return engines, true
}

// routersAhead returns how many routers rank before this one for an upstream, by
// rendezvous.
func (f *Fleet) routersAhead(id core.UpstreamID, routers []core.RouterID) int {
	key := chat.Key("", string(id), nil)
	own, ahead := chat.Score(key, string(f.settings.ID)), 0
	for _, r := range routers {
		if chat.Score(key, string(r)) > own {
			ahead++
		}
	}
	return ahead
}

// RecordInventory records the cache inventory of an engine. The next heartbeat sends
// it to the other routers.
func (f *Fleet) RecordInventory(now time.Time, id core.UpstreamID, parts []prefix.Part) {
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.AddInventory(now, id, parts) })
}

// wantsNoInventory reports whether the process of an engine has said something for which it
// isn't queried.
func (s *state) wantsNoInventory(now time.Time, startedMS int64) bool {
	return s.limited(now, startedMS) || s.said.Leaving(startedMS) || s.said.TurnedAwayFor(now, startedMS) > 0
}
