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

// view is a copy of what decisions on permits need from the tables of lower lock
// rank. Its contents are shared and never modified.
type view struct {
	route.View
	now     time.Time
	members []instance.Router
	alive   []instance.Router
	// poolPermits is the number of permits that each live router holds in each
	// pool, as it last reported.
	poolPermits map[core.RouterID]map[core.Pool]int
	superseded  bool
	ineligible  bool
	// coordinators are the coordinators of the upstreams.
	coordinators map[core.UpstreamID]instance.Router
	// available counts, by pool, the upstreams of this router's region that accept
	// work and have a live coordinator.
	available map[core.Pool]int
	// generation is that of the tables when the view was built, at madeAt.
	generation uint64
	madeAt     time.Time
}

// maxViewAge is how old a view may be. No guarantee depends on it: an older view
// only delays when routers start or cease to count as alive, and so affects where
// a request is tried.
const maxViewAge = 20 * time.Millisecond

// view returns the current state of the tables, or one at most maxViewAge old.
func (n *Node) view(now time.Time) view {
	if known := n.latestView.Load(); known != nil && known.generation == n.generation.Load() {
		if age := now.Sub(known.madeAt); 0 <= age && age < maxViewAge {
			v := *known
			v.now = now
			return v
		}
	}
	v := n.newView(now)
	n.latestView.Store(&v)
	return v
}

// invalidateView causes the next call of view to build a new one.
func (n *Node) invalidateView() { n.generation.Add(1) }

func (n *Node) newView(now time.Time) view {
	v := view{now: now, madeAt: now, generation: n.generation.Load()}
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		v.Sheet = c.sheet
	})
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		v.members = p.members.All()
		v.superseded = p.superseded
		v.ineligible = p.ineligible()
		v.alive = n.liveRouters(now, p, v.members)
		v.poolPermits = make(map[core.RouterID]map[core.Pool]int, len(v.alive))
		for _, r := range v.alive {
			v.poolPermits[r.ID] = p.links[r.ID].poolPermits
		}
	})
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		v.Upstreams = u.list
	})
	dc, _ := v.Sheet.DataCentre(n.settings.DataCentre)
	v.Region = dc.Region
	v.assignCoordinators()
	return v
}

// assignCoordinators finds the coordinators of all upstreams and counts the
// available ones.
func (v *view) assignCoordinators() {
	byDataCentre := map[core.DataCentre][]instance.Router{}
	for _, r := range v.alive {
		if !r.ShuttingDown {
			byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], r)
		}
	}
	v.coordinators = make(map[core.UpstreamID]instance.Router, len(v.Upstreams))
	v.available = map[core.Pool]int{}
	for _, u := range v.Upstreams {
		coordinator, ok := rendezvousRouter(u, byDataCentre[u.DataCentre])
		if !ok {
			continue
		}
		v.coordinators[u.ID] = coordinator
		dc, _ := v.Sheet.DataCentre(u.DataCentre)
		if dc.Region == v.Region && route.AcceptsWork(v.now, v.View, u) {
			v.available[u.Pool]++
		}
	}
}

// rendezvousRouter returns the router with the highest rendezvous hash for an
// upstream.
func rendezvousRouter(u upstream.Upstream, routers []instance.Router) (instance.Router, bool) {
	key := chat.Key("", string(u.ID), nil)
	best, top := instance.Router{}, uint64(0)
	for _, r := range routers {
		if score := chat.Score(key, string(r.ID)); best.ID == "" || score > top {
			best, top = r, score
		}
	}
	return best, best.ID != ""
}

// liveRouters returns the routers that are alive, including this one unless it is
// ineligible.
func (n *Node) liveRouters(now time.Time, p *peers, members []instance.Router) []instance.Router {
	alive := make([]instance.Router, 0, len(members)+1)
	for _, r := range members {
		if r.ID != n.settings.ID && r.Alive(now, n.settings.LeaseTiming.FailureTimeout()) {
			alive = append(alive, r)
		}
	}
	if self := n.self(now, p); !self.ShuttingDown {
		alive = append(alive, self)
	}
	return alive
}

// Sheet returns the sheet in use and the number of the revision in force. The
// sheet is from an earlier revision if that one's cannot be parsed.
func (n *Node) Sheet() (config.Sheet, core.Offset) {
	var sheet config.Sheet
	var number core.Offset
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		sheet = c.sheet
		number = c.number
	})
	return sheet, number
}

// Routers returns the other routers that are known.
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

// RankUpstreams returns the upstreams to try for a request, the best first.
func RankUpstreams[P chat.Policy](now time.Time, n *Node, policy P, r route.Request) []chat.Candidate {
	v := n.view(now)
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		v.Running = h.held.CountByUpstream()
	})
	return chat.Order(policy, r.AffinityKey, route.Candidates(now, v.View, r))
}

// coordinatorOf returns the router that grants an upstream's permits: the first
// by rendezvous hash among the live and eligible routers of its data centre.
func (v view) coordinatorOf(u upstream.Upstream) (instance.Router, bool) {
	coordinator, ok := v.coordinators[u.ID]
	return coordinator, ok
}

// pool returns the pool of an upstream.
func (v view) pool(u upstream.Upstream) pool.Pool {
	p, _ := v.Sheet.Pool(u.Pool)
	return p
}

// capacity returns the most concurrent requests that an upstream serves at
// present; zero if it takes no new work.
func (v view) capacity(u upstream.Upstream) int {
	if !route.AcceptsWork(v.now, v.View, u) {
		return 0
	}
	return u.State.Limit(v.now, route.PoolRamp(v.pool(u)))
}

// limits returns what bounds the requests at an upstream. LocalCount is the number
// of the pool's permits that this router holds or requests.
func (v view) limits(u upstream.Upstream, localCount int) permit.Limits {
	total := localCount
	for _, r := range v.alive {
		dc, _ := v.Sheet.DataCentre(r.DataCentre)
		if dc.Region == v.Region {
			total += v.poolPermits[r.ID][u.Pool]
		}
	}
	seats, offset := v.split(u)
	return permit.Limits{
		Capacity:      v.capacity(u),
		LoadFactor:    v.pool(u).LoadFactor,
		PoolRequests:  total,
		PoolUpstreams: v.available[u.Pool],
		Boot:          u.State.Boot,
		Seats:         seats,
		Offset:        offset,
	}
}

// split returns the number of seats among which an upstream's limit is split, and
// the offset that selects those with one unit more.
func (v view) split(u upstream.Upstream) (seats, offset int) {
	dc, _ := v.Sheet.DataCentre(u.DataCentre)
	seats = dc.SeatCount()
	return seats, int(chat.Key("", string(u.ID), nil) % core.Digest(seats))
}

// localShare returns the share of an upstream's limit that this router's seat
// owns.
func (n *Node) localShare(v view, u upstream.Upstream) int {
	if v.superseded || u.DataCentre != n.settings.DataCentre {
		return 0
	}
	seats, offset := v.split(u)
	full := u.State.Limit(v.now, route.PoolRamp(v.pool(u)))
	return permit.Split(full, seats, n.settings.Seat, offset)
}

// otherRouters returns the other routers that may hold permits.
func (n *Node) otherRouters(v view) []core.RouterID {
	ids := make([]core.RouterID, 0, len(v.members))
	for _, r := range v.members {
		if r.ID != n.settings.ID {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
