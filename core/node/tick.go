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

// RemoteHeartbeats is how many routers of other data centres receive a heartbeat
// at each tick.
const RemoteHeartbeats = 8

// peerRetention is how long a router is kept that is neither listed nor seen.
const peerRetention = 10 * time.Minute

// Tick must be called at every heartbeat interval. It expires leases, grants
// queued requests, and returns the heartbeats to send and the upstreams to probe.
func (n *Node) Tick(now time.Time) Effects {
	known := n.earlierLeasesKnown(now)
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.RemoveStale(now, peerRetention)
		p.canCoordinate = p.canCoordinate || known
	})
	n.invalidateView()
	v := n.view(now)
	var e Effects
	for _, id := range n.heartbeatTargets(now, v) {
		e.send(id, Message{Heartbeat: n.heartbeatTo(v, id)})
	}
	for _, u := range v.Upstreams {
		if u.DataCentre != n.settings.DataCentre {
			continue
		}
		n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
			n.refreshEntry(v, *t, u)
		})
		e.add(n.grantQueued(now, u.ID))
		if n.wantsProbe(v, u) {
			e.Probes = append(e.Probes, u.ID)
		}
	}
	return e
}

// wantsProbe reports whether this router needs a load report of an upstream: as
// its coordinator, or as an owner with units that may be in use on expired
// leases.
func (n *Node) wantsProbe(v view, u upstream.Upstream) bool {
	if u.State.Down && v.now.Before(u.State.RetryAt) {
		return false
	}
	if coordinator, ok := v.coordinatorOf(u); ok && coordinator.ID == n.settings.ID {
		return true
	}
	return table.Read(n.permits, table.Hold{}, func(t *permitTable) bool {
		entry := (*t)[u.ID]
		return entry != nil && len(entry.share.Expired) > 0
	})
}

// heartbeatTargets returns the routers to which a heartbeat is sent now: all of
// the local data centre, those whose claims are awaited, and RemoteHeartbeats of
// the others in rotation.
func (n *Node) heartbeatTargets(now time.Time, v view) []core.RouterID {
	var targets, remote []core.RouterID
	for _, r := range v.members {
		switch {
		case r.ID == n.settings.ID || (!r.Listed && !r.Alive(now, peerRetention)):
		case r.DataCentre == n.settings.DataCentre || n.awaitsClaims(r.ID):
			targets = append(targets, r.ID)
		default:
			remote = append(remote, r.ID)
		}
	}
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		for range min(RemoteHeartbeats, len(remote)) {
			targets = append(targets, remote[p.nextRemote%len(remote)])
			p.nextRemote++
		}
	})
	return targets
}

// heartbeatTo returns the heartbeat for a router.
func (n *Node) heartbeatTo(v view, to core.RouterID) *Heartbeat {
	hb := &Heartbeat{Stamp: n.stamp(v.now), ShuttingDown: v.ineligible, ClaimsComplete: true}
	_, hb.Revision = n.Sheet()
	var peer instance.Router
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		peer, _ = p.members.Get(to)
		hb.Echo = p.links[to].lastReceived
	})
	coordinator := permit.CoordinatorID{Router: to, Incarnation: peer.Incarnation}
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		hb.Held = h.held.Reports(coordinator)
		hb.Claims = h.held.Claims(peer.Seat, n.locatedIn(v, peer.DataCentre))
		for _, p := range v.Sheet.Pools {
			if count := h.heldIn(p.Name); count > 0 {
				hb.Running = append(hb.Running, PoolPermits{Pool: p.Name, Count: count})
			}
		}
	})
	hb.RequestClaims = n.awaitsClaims(to)
	if peer.DataCentre != n.settings.DataCentre {
		hb.LiveSeats = v.liveSeats(n.settings.DataCentre)
		return hb
	}
	if peer.Incarnation != 0 && !v.superseded {
		hb.Leases = n.leasesFor(v, coordinator)
	}
	hb.Confirmed = n.confirmations(v, peer.Seat)
	hb.Health = n.health(v)
	return hb
}

// locatedIn returns a function that reports whether an upstream is in a data
// centre.
func (n *Node) locatedIn(v view, dc core.DataCentre) func(core.UpstreamID) bool {
	return func(id core.UpstreamID) bool {
		i, ok := slices.BinarySearchFunc(v.Upstreams, id, func(u upstream.Upstream, id core.UpstreamID) int {
			return cmp.Compare(u.ID, id)
		})
		return ok && v.Upstreams[i].DataCentre == dc
	}
}

// liveSeats returns the live seats of a data centre as bits, the first seat
// lowest.
func (v view) liveSeats(dc core.DataCentre) uint64 {
	var bits uint64
	for _, r := range v.alive {
		if r.DataCentre == dc && r.Seat > 0 && r.Seat <= instance.MaxSeats {
			bits |= 1 << (r.Seat - 1)
		}
	}
	return bits
}

// health returns the state of the upstreams that this router coordinates.
func (n *Node) health(v view) []Health {
	var all []Health
	for _, u := range v.Upstreams {
		coordinator, ok := v.coordinatorOf(u)
		if u.DataCentre != n.settings.DataCentre || !ok || coordinator.ID != n.settings.ID {
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

// BeginShutdown announces in the following heartbeats that the router is
// shutting down. It is no longer chosen as coordinator.
func (n *Node) BeginShutdown() {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.shuttingDown = true
	})
	n.invalidateView()
}

// ApplyList applies the platform's list of routers and upstreams. Upstreams that
// are no longer listed get no new work.
func (n *Node) ApplyList(routers []instance.Router, listed []upstream.Upstream) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.ApplyList(routers)
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
	n.invalidateView()
}
