package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
)

// receiveRequest decides on another router's permit request.
func (n *Node) receiveRequest(now time.Time, from Handshake, r PermitRequest) Effects {
	n.receiveStamp(from.Router, r.Stamp)
	var e Effects
	u, ok := n.Upstream(r.Upstream)
	if !ok || u.DataCentre != n.settings.DataCentre {
		e.send(from.Router, Message{Deny: &Deny{RequestID: r.ID}})
		return e
	}
	n.updatePoolPermits(from.Router, u.Pool, r.Running)
	v := n.view(now)
	localCount := table.Read(n.holdings, table.Hold{}, func(h *holdings) int { return h.heldIn(u.Pool) })
	var p permit.Permit
	var decision permit.Decision
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		entry := n.refreshEntry(v, *t, u)
		p, decision = entry.coordinator.Acquire(now, n.requestFrom(now, from, r), v.limits(u, localCount))
	})
	switch decision {
	case permit.Granted:
		e.send(from.Router, Message{Grant: n.grantMessage(p)})
	case permit.Denied:
		e.send(from.Router, Message{Deny: &Deny{RequestID: r.ID}})
	}
	return e
}

// receiveStamp records a time on another router's clock.
func (n *Node) receiveStamp(from core.RouterID, s Stamp) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		l := p.links[from]
		l.lastReceived = max(l.lastReceived, s)
		p.links[from] = l
	})
}

func (n *Node) requestFrom(now time.Time, from Handshake, r PermitRequest) permit.Request {
	seat := core.Seat(0)
	if from.DataCentre == n.settings.DataCentre {
		seat = from.Seat
	}
	return permit.Request{
		ID: r.ID, Router: from.Router, Incarnation: from.Incarnation, Seat: seat, Upstream: r.Upstream,
		Account: r.Account, Weight: r.Weight, Priority: r.Priority, Suspect: r.Suspect,
		Deadline: requestDeadline(now, time.Duration(r.WaitMS)*time.Millisecond),
	}
}

func (n *Node) updatePoolPermits(router core.RouterID, pool core.Pool, count int) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		l := p.links[router]
		counts := map[core.Pool]int{pool: count}
		for name, c := range l.poolPermits {
			if name != pool {
				counts[name] = c
			}
		}
		l.poolPermits = counts
		p.links[router] = l
	})
}

func (n *Node) receiveGrant(now time.Time, from Handshake, g Grant) Effects {
	return n.granted(now, permit.Held{
		Permit: permit.Permit{
			Seq: g.Seq, RequestID: g.RequestID, Router: n.settings.ID, Incarnation: n.settings.Incarnation,
			Upstream: g.Upstream, Owner: g.Owner, Epoch: g.Epoch, Boot: g.Boot,
		},
		Coordinator: permit.CoordinatorID{Router: from.Router, Incarnation: from.Incarnation},
		StampedAt:   n.timeOfStamp(g.Echo),
	})
}

func (n *Node) receiveDeny(request uint64) Effects {
	pending := false
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		_, pending = h.requests[request]
		delete(h.requests, request)
	})
	if !pending {
		return Effects{}
	}
	return Effects{Replies: []Reply{{RequestID: request}}}
}

func (n *Node) receiveCancel(from core.RouterID, c Cancel) {
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		if entry := (*t)[c.Upstream]; entry != nil {
			entry.coordinator.Cancel(from, c.RequestID)
		}
	})
}
