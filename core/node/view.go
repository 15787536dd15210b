package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// view is a copy of what decisions on permits need from the tables of lower
// rank. Its parts are shared and never changed.
type view struct {
	route.View
	now        time.Time
	members    []instance.Router
	alive      []instance.Router
	running    map[core.RouterID]map[core.Pool]int
	superseded bool
	leaving    bool
	// keepers are the keepers of the upstreams.
	keepers map[core.UpstreamID]instance.Router
	// served counts the upstreams of each pool that can be given work.
	served map[core.Pool]int
	// generation is that of the tables when the view was made, at a time.
	generation uint64
	made       time.Time
}

// viewAge is how old a view may be. No promise depends on it: only who is
// alive, and so where a request is tried, may be seen later.
const viewAge = 20 * time.Millisecond

// view returns what the tables hold now, or held a moment ago.
func (n *Node) view(now time.Time) view {
	if known := n.latest.Load(); known != nil && known.generation == n.generation.Load() {
		if age := now.Sub(known.made); 0 <= age && age < viewAge {
			v := *known
			v.now = now
			return v
		}
	}
	v := n.newView(now)
	n.latest.Store(&v)
	return v
}

// changed says that views made before are out of date.
func (n *Node) changed() { n.generation.Add(1) }

func (n *Node) newView(now time.Time) view {
	v := view{now: now, made: now, generation: n.generation.Load()}
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		v.Sheet = c.sheet
	})
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		v.members = p.members.All()
		v.superseded = p.superseded
		v.leaving = p.away()
		v.alive = n.alive(now, p, v.members)
		v.running = make(map[core.RouterID]map[core.Pool]int, len(v.alive))
		for _, r := range v.alive {
			v.running[r.ID] = p.links[r.ID].running
		}
	})
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		v.Upstreams = u.list
	})
	dc, _ := v.Sheet.DataCentre(n.settings.DataCentre)
	v.Region = dc.Region
	v.keep()
	return v
}

// keep finds the keepers of all upstreams, and counts those that can be given
// work: they are open and a live router keeps them.
func (v *view) keep() {
	byCentre := map[core.DataCentre][]instance.Router{}
	for _, r := range v.alive {
		if !r.Leaving {
			byCentre[r.DataCentre] = append(byCentre[r.DataCentre], r)
		}
	}
	v.keepers = make(map[core.UpstreamID]instance.Router, len(v.Upstreams))
	v.served = map[core.Pool]int{}
	for _, u := range v.Upstreams {
		keeper, ok := firstFor(u, byCentre[u.DataCentre])
		if !ok {
			continue
		}
		v.keepers[u.ID] = keeper
		dc, _ := v.Sheet.DataCentre(u.DataCentre)
		if dc.Region == v.Region && route.AcceptsWork(v.now, v.View, u) {
			v.served[u.Pool]++
		}
	}
}

// firstFor returns the router that is first for an upstream by rendezvous hash.
func firstFor(u upstream.Upstream, routers []instance.Router) (instance.Router, bool) {
	key := chat.Key("", string(u.ID), nil)
	best, top := instance.Router{}, uint64(0)
	for _, r := range routers {
		if score := chat.Score(key, string(r.ID)); best.ID == "" || score > top {
			best, top = r, score
		}
	}
	return best, best.ID != ""
}

// alive returns the routers that may be keepers, the own one among them.
func (n *Node) alive(now time.Time, p *peers, members []instance.Router) []instance.Router {
	alive := make([]instance.Router, 0, len(members)+1)
	for _, r := range members {
		if r.ID != n.settings.ID && r.Alive(now, n.settings.Lease.Silence()) {
			alive = append(alive, r)
		}
	}
	if self := n.self(now, p); !self.Leaving {
		alive = append(alive, self)
	}
	return alive
}

// Sheet returns the sheet in force and its revision.
func (n *Node) Sheet() (config.Sheet, core.Offset) {
	var sheet config.Sheet
	var number core.Offset
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		sheet = c.sheet
		number = c.number
	})
	return sheet, number
}

// Routers returns the routers that are known, without the own one.
func (n *Node) Routers() []instance.Router {
	return table.Read(n.peers, table.Hold{}, func(p *peers) []instance.Router {
		return p.members.All()
	})
}

// Upstream returns one upstream.
func (n *Node) Upstream(id core.UpstreamID) (upstream.Upstream, bool) {
	u := table.Read(n.upstreams, table.Hold{}, func(u *upstreams) upstream.Upstream {
		return u.byID[id]
	})
	return u, u.ID != ""
}

// Place returns the upstreams to try for a request, the best first.
func Place[P chat.Policy](now time.Time, n *Node, policy P, r route.Request) []chat.Candidate {
	v := n.view(now)
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		v.Running = h.held.ByUpstream()
	})
	return chat.Order(policy, r.Key, route.Candidates(now, v.View, r))
}

// keeperOf returns the router that keeps an upstream's permits: the first by
// rendezvous hash among the live ones of its data centre.
func (v view) keeperOf(u upstream.Upstream) (instance.Router, bool) {
	keeper, ok := v.keepers[u.ID]
	return keeper, ok
}

// pool returns the pool of an upstream.
func (v view) pool(u upstream.Upstream) pool.Pool {
	p, _ := v.Sheet.Pool(u.Pool)
	return p
}

// bear returns what an upstream bears now.
func (v view) bear(u upstream.Upstream) int {
	if !route.AcceptsWork(v.now, v.View, u) {
		return 0
	}
	return u.State.Limit(v.now, route.RampOf(v.pool(u)))
}

// limits returns what bounds an upstream. Own is the number of the pool's
// permits that the own router holds or wants.
func (v view) limits(u upstream.Upstream, own int) permit.Limits {
	total := own
	for _, r := range v.alive {
		dc, _ := v.Sheet.DataCentre(r.DataCentre)
		if dc.Region == v.Region {
			total += v.running[r.ID][u.Pool]
		}
	}
	return permit.Limits{
		Bear:      v.bear(u),
		Multiple:  v.pool(u).LoadFactor,
		Total:     total,
		Upstreams: v.served[u.Pool],
		Boot:      u.State.Boot,
	}
}

// size returns the own seat's share of an upstream's limit.
func (n *Node) size(v view, u upstream.Upstream) int {
	if v.superseded || u.DataCentre != n.settings.DataCentre {
		return 0
	}
	dc, _ := v.Sheet.DataCentre(u.DataCentre)
	offset := int(chat.Key("", string(u.ID), nil) % core.Digest(dc.SeatCount()))
	full := u.State.Limit(v.now, route.RampOf(v.pool(u)))
	return permit.Split(full, dc.SeatCount(), n.settings.Seat, offset)
}

// others returns the routers that may hold permits, without the own one.
func (n *Node) others(v view) []core.RouterID {
	ids := make([]core.RouterID, 0, len(v.members))
	for _, r := range v.members {
		if r.ID != n.settings.ID {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
