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
// their caches: none if a router that was running has told, else those for
// which it comes first among the routers that it has heard.
func (f *Fleet) Survey(now time.Time) []roster.Upstream {
	c := f.Current()
	if c == nil {
		return nil
	}
	routers := table.Read(f.members, table.Hold{}, func(p *members) []core.RouterID {
		if p.taught {
			return nil
		}
		ids := []core.RouterID{f.settings.ID}
		for id, m := range p.byID {
			if !m.heard.IsZero() {
				ids = append(ids, id)
			}
		}
		return ids
	})
	if len(routers) == 0 {
		return nil
	}
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) []roster.Upstream {
		return slices.DeleteFunc(slices.Clone(u.roster.All()), func(up roster.Upstream) bool {
			return c.Pools[up.Pool].Engine == nil || !u.roster.Open(now, up) || first(up.ID, routers) != f.settings.ID
		})
	})
}

// first returns the router that comes first for an upstream.
func first(id core.UpstreamID, routers []core.RouterID) core.RouterID {
	key := chat.Key("", string(id), nil)
	return slices.MaxFunc(routers, func(a, b core.RouterID) int {
		if chat.Score(key, string(a)) < chat.Score(key, string(b)) {
			return -1
		}
		return 1
	})
}

// Surveyed takes in what an engine has in its cache. The next beat tells.
func (f *Fleet) Surveyed(now time.Time, id core.UpstreamID, parts []prefix.Part) {
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.Read(now, id, parts, f.memory()) })
}
