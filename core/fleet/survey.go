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

// Survey returns the engines that the router should ask what they have in
// their caches when it has started: those for which it comes first among the
// routers. If all have started, each engine is asked once. It reports false
// until the router knows the upstreams and the other routers.
func (f *Fleet) Survey(now time.Time) ([]roster.Upstream, bool) {
	c := f.Current()
	if _, _, settled := f.place(now); c == nil || !settled || len(f.inService(now)) == 0 {
		return nil, false
	}
	routers := f.ids(now)
	engines := table.Read(f.roster, table.Hold{}, func(u *upstreams) []roster.Upstream {
		return slices.DeleteFunc(slices.Clone(u.roster.All()), func(up roster.Upstream) bool {
			return c.Pools[up.Pool].Engine == nil || !u.roster.AcceptsWork(now, up) || f.ahead(up.ID, routers) > 0
		})
	})
	return engines, true
}

// ahead returns how many routers come before the own one for an upstream, by
// rendezvous.
func (f *Fleet) ahead(id core.UpstreamID, routers []core.RouterID) int {
	key := chat.Key("", string(id), nil)
	own, ahead := chat.Score(key, string(f.settings.ID)), 0
	for _, r := range routers {
		if chat.Score(key, string(r)) > own {
			ahead++
		}
	}
	return ahead
}

// Surveyed takes in what an engine has in its cache. The next beat tells.
func (f *Fleet) Surveyed(now time.Time, id core.UpstreamID, parts []prefix.Part) {
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.AddInventory(now, id, parts) })
}
