package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// refreshEntry updates an upstream's entry to the current time, creating it if
// needed: it expires leases and overdue permits and, if this router is the
// coordinator, allocates the free units of its own share.
func (n *Node) refreshEntry(v view, t permitTable, u upstream.Upstream) *permitEntry {
	entry := t[u.ID]
	if entry == nil {
		entry = &permitEntry{}
		entry.coordinator.Self = n.settings.ID
		entry.coordinator.Seat = n.settings.Seat
		entry.coordinator.Timing = n.settings.LeaseTiming
		entry.share.BlockAll(n.started, n.settings.Incarnation, n.settings.LeaseTiming.Duration(), n.otherRouters(v))
		t[u.ID] = entry
	}
	longest := v.pool(u).MaxRunTime
	if entry.share.LeaseExpired(v.now) {
		entry.share.ExpireLease(v.now, n.otherRouters(v))
	}
	entry.share.FreeOverdue(v.now, longest)
	entry.coordinator.RemoveOverdue(v.now, longest+n.settings.LeaseTiming.Duration())
	own := permit.Allocation{Owner: n.settings.Seat, StampedAt: v.now}
	if coordinator, ok := v.coordinatorOf(u); ok && coordinator.ID == n.settings.ID {
		size := n.localShare(v, u)
		own.Units = entry.share.Free(v.now, size)
		own.Outstanding = entry.share.Outstanding(v.now, size)
	}
	entry.coordinator.Accept(own)
	return entry
}

// leasesFor leases this router's shares to a coordinator and returns the leases.
func (n *Node) leasesFor(v view, to permit.CoordinatorID) []Lease {
	var leases []Lease
	others := n.otherRouters(v)
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, u := range v.Upstreams {
			if u.DataCentre != n.settings.DataCentre {
				continue
			}
			if coordinator, ok := v.coordinatorOf(u); !ok || coordinator.ID != to.Router {
				continue
			}
			entry := n.refreshEntry(v, *t, u)
			size := n.localShare(v, u) - entry.coordinator.InUse(n.settings.Seat, 0)
			lease := entry.share.LeaseOut(v.now, to, size, n.settings.LeaseTiming.Duration(), others)
			if lease.Epoch == 0 {
				continue
			}
			leases = append(leases, Lease{Upstream: u.ID, Epoch: lease.Epoch, Units: lease.Units, Outstanding: entry.share.Outstanding(v.now, size)})
		}
	})
	return leases
}

// confirmations returns the units of an owner's leases that this router, as
// coordinator, may still use.
func (n *Node) confirmations(v view, owner core.Seat) []Confirmed {
	var all []Confirmed
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, u := range v.Upstreams {
			entry := (*t)[u.ID]
			if entry == nil {
				continue
			}
			for _, a := range entry.coordinator.Allocations() {
				if a.Owner == owner && a.Epoch != 0 {
					all = append(all, Confirmed{Upstream: u.ID, Epoch: a.Epoch, Units: entry.coordinator.ConfirmedUnits(a)})
				}
			}
		}
	})
	return all
}

// awaitsClaims reports whether any share waits for a router's claims.
func (n *Node) awaitsClaims(router core.RouterID) bool {
	return table.Read(n.permits, table.Hold{}, func(t *permitTable) bool {
		for _, entry := range *t {
			if entry.share.AwaitsClaims(router) {
				return true
			}
		}
		return false
	})
}

// RecordLoad applies an upstream's load report that was requested at requestedAt
// and whose data was age old.
func (n *Node) RecordLoad(now, requestedAt time.Time, id core.UpstreamID, boot string, running int, age time.Duration) Effects {
	n.observe(now, id, Responded, boot)
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		if entry := (*t)[id]; entry != nil && boot != "" {
			entry.share.RecordLoad(now, requestedAt.Add(-age), running)
		}
	})
	return n.grantQueued(now, id)
}

// ProbeFailed records that an upstream could not be probed.
func (n *Node) ProbeFailed(now time.Time, id core.UpstreamID) {
	n.observe(now, id, ConnectFailed, "")
}

// observe updates the state of an upstream.
func (n *Node) observe(now time.Time, id core.UpstreamID, o Outcome, boot string) {
	if o == Unused {
		return
	}
	observation := map[Outcome]upstream.Observation{
		Responded: upstream.Answered, ConnectFailed: upstream.ConnectFailed, ConnectionBroken: upstream.ConnectionBroke,
	}[o]
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, t *upstreams) {
		u, ok := t.byID[id]
		if !ok {
			return
		}
		n.putState(t, u, u.State.Observe(now, observation, boot))
	})
}

// putState stores the state of an upstream, and rebuilds the list if the state
// changed.
func (n *Node) putState(t *upstreams, u upstream.Upstream, s upstream.State) {
	if s == u.State {
		return
	}
	u.State = s
	t.byID[u.ID] = u
	t.rebuild()
	n.invalidateView()
}

func (t *upstreams) rebuild() {
	list := make([]upstream.Upstream, 0, len(t.byID))
	for _, u := range t.byID {
		list = append(list, u)
	}
	upstream.SortByID(list)
	t.list = list
}

// heldIn returns the number of permits held for upstreams of a pool.
func (h *holdings) heldIn(name core.Pool) int {
	return h.held.Count(func(p permit.Held) bool { return p.Pool == name })
}

// heldOrRequestedIn returns the number of permits held and requested in a pool.
func (h *holdings) heldOrRequestedIn(name core.Pool) int {
	n := h.heldIn(name)
	for _, r := range h.requests {
		if r.pool == name {
			n++
		}
	}
	return n
}

// ObserveBoot records which process of an upstream responded on a new
// connection. It returns false if the upstream is unknown or another process of
// it had been recorded before.
func (n *Node) ObserveBoot(now time.Time, id core.UpstreamID, boot string) bool {
	u, ok := n.Upstream(id)
	if !ok {
		return false
	}
	n.observe(now, id, Responded, boot)
	return u.State.Boot == "" || u.State.Boot == boot
}
