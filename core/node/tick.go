package node

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// ForeignBeats is how many routers of other data centres get a heartbeat at
// each tick.
const ForeignBeats = 8

// forgetAfter is how long a router that is neither listed nor heard is known.
const forgetAfter = 10 * time.Minute

// Tick does what is due at every interval of heartbeats: it sends them, lets
// loans lapse, serves queues and asks for load reports.
func (n *Node) Tick(now time.Time) Effects {
	settled := n.settled(now)
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.Forget(now, forgetAfter)
		p.settled = p.settled || settled
	})
	n.changed()
	v := n.view(now)
	var e Effects
	for _, id := range n.due(now, v) {
		e.send(id, Message{Beat: n.beatTo(v, id)})
	}
	for _, u := range v.Upstreams {
		if u.DataCentre != n.settings.DataCentre {
			continue
		}
		n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
			n.refresh(v, *l, u)
		})
		e.add(n.serve(now, u.ID))
		if n.probes(v, u) {
			e.Probes = append(e.Probes, u.ID)
		}
	}
	return e
}

// probes reports whether a load report of an upstream is wanted: by its
// keeper, and by an owner that waits for units to come back.
func (n *Node) probes(v view, u upstream.Upstream) bool {
	if u.State.Down && v.now.Before(u.State.RetryAt) {
		return false
	}
	if keeper, ok := v.keeperOf(u); ok && keeper.ID == n.settings.ID {
		return true
	}
	return table.Read(n.permits, table.Hold{}, func(l *ledgers) bool {
		book := (*l)[u.ID]
		return book != nil && len(book.share.Debts) > 0
	})
}

// due returns the routers that get a heartbeat now: all of the own data
// centre, those that have to speak, and some of the others in turn.
func (n *Node) due(now time.Time, v view) []core.RouterID {
	var local, foreign []core.RouterID
	for _, r := range v.members {
		switch {
		case r.ID == n.settings.ID || (!r.Listed && !r.Alive(now, forgetAfter)):
		case r.DataCentre == n.settings.DataCentre || n.indebted(r.ID):
			local = append(local, r.ID)
		default:
			foreign = append(foreign, r.ID)
		}
	}
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		for range min(ForeignBeats, len(foreign)) {
			local = append(local, foreign[p.turn%len(foreign)])
			p.turn++
		}
	})
	return local
}

// beatTo returns the heartbeat to a router.
func (n *Node) beatTo(v view, to core.RouterID) *Beat {
	b := &Beat{Stamp: n.stamp(v.now), Leaving: v.leaving, Spoken: true}
	_, b.Revision = n.Sheet()
	var peer instance.Router
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		peer, _ = p.members.Get(to)
		b.Echo = p.links[to].theirs
	})
	keeper := permit.Borrower{Keeper: to, Incarnation: peer.Incarnation}
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		b.Held = h.held.State(keeper)
		b.Claims = h.held.Claims(peer.Seat, n.locatedIn(v, peer.DataCentre))
		for _, p := range v.Sheet.Pools {
			if count := h.runningIn(p.Name); count > 0 {
				b.Running = append(b.Running, Running{Pool: p.Name, Count: count})
			}
		}
	})
	b.Speak = n.indebted(to)
	if peer.DataCentre != n.settings.DataCentre {
		b.Alive = v.seats(n.settings.DataCentre)
		return b
	}
	if peer.Incarnation != 0 && !v.superseded {
		b.Loans = n.lend(v, keeper)
	}
	b.Confirmed = n.confirm(v, peer.Seat)
	b.Health = n.health(v)
	return b
}

// locatedIn returns a function that tells whether an upstream is in a data
// centre.
func (n *Node) locatedIn(v view, dc core.DataCentre) func(core.UpstreamID) bool {
	return func(id core.UpstreamID) bool {
		i, ok := slices.BinarySearchFunc(v.Upstreams, id, func(u upstream.Upstream, id core.UpstreamID) int {
			return cmp.Compare(u.ID, id)
		})
		return ok && v.Upstreams[i].DataCentre == dc
	}
}

// seats returns the live seats of a data centre as bits, the first one lowest.
func (v view) seats(dc core.DataCentre) uint64 {
	var bits uint64
	for _, r := range v.alive {
		if r.DataCentre == dc && r.Seat > 0 && r.Seat <= instance.MaxSeats {
			bits |= 1 << (r.Seat - 1)
		}
	}
	return bits
}

// health returns the state of the upstreams that the own router keeps.
func (n *Node) health(v view) []Health {
	var all []Health
	for _, u := range v.Upstreams {
		keeper, ok := v.keeperOf(u)
		if u.DataCentre != n.settings.DataCentre || !ok || keeper.ID != n.settings.ID {
			continue
		}
		h := Health{Upstream: u.ID, Boot: u.State.Boot, Down: u.State.Down, AgeMS: -1}
		if !u.State.RampStart.IsZero() {
			h.AgeMS = v.now.Sub(u.State.RampStart).Milliseconds()
		}
		all = append(all, h)
	}
	return all
}

// Leave says in the next heartbeats that the router is leaving. It is no
// longer chosen as keeper.
func (n *Node) Leave() {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.leaving = true
	})
	n.changed()
}

// Listed takes over the platform's list. Upstreams that are no longer listed
// take no new work.
func (n *Node) Listed(routers []instance.Router, listed []upstream.Upstream) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.List(routers)
	})
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, t *upstreams) {
		for id, u := range t.byID {
			u.Draining = true
			t.byID[id] = u
		}
		for _, u := range listed {
			u.State = t.byID[u.ID].State
			t.byID[u.ID] = u
		}
		t.rebuild()
	})
	n.changed()
}
