package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
)

// receiveRequest decides on another router's permit request.
func (n *Node) receiveRequest(now time.Time, from Handshake, a PermitRequest) Effects {
	n.receiveStamp(from.Router, a.Stamp)
	var e Effects
	u, ok := n.Upstream(a.Upstream)
	if !ok || u.DataCentre != n.settings.DataCentre {
		e.send(from.Router, Message{Deny: &Deny{RequestID: a.ID}})
		return e
	}
	n.updateRunning(from.Router, u.Pool, a.Running)
	v := n.view(now)
	localCount := table.Read(n.holdings, table.Hold{}, func(h *holdings) int { return h.heldIn(u.Pool) })
	var p permit.Permit
	var outcome permit.Outcome
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *permitTable) {
		entry := n.refreshEntry(v, *l, u)
		p, outcome = entry.coordinator.Acquire(now, n.requestFrom(now, from, a), v.limits(u, localCount))
	})
	switch outcome {
	case permit.Granted:
		e.send(from.Router, Message{Grant: n.grantMessage(p)})
	case permit.Denied:
		e.send(from.Router, Message{Deny: &Deny{RequestID: a.ID}})
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

func (n *Node) requestFrom(now time.Time, from Handshake, a PermitRequest) permit.Request {
	seat := core.Seat(0)
	if from.DataCentre == n.settings.DataCentre {
		seat = from.Seat
	}
	return permit.Request{
		ID: a.ID, Router: from.Router, Incarnation: from.Incarnation, Seat: seat, Upstream: a.Upstream,
		Account: a.Account, Weight: a.Weight, Priority: a.Priority, Suspect: a.Suspect,
		Deadline: requestDeadline(now, time.Duration(a.WaitMS)*time.Millisecond),
	}
}

func (n *Node) updateRunning(router core.RouterID, pool core.Pool, count int) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		l := p.links[router]
		running := map[core.Pool]int{pool: count}
		for name, c := range l.running {
			if name != pool {
				running[name] = c
			}
		}
		l.running = running
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
		EchoedAt:    n.timeOfStamp(g.Echo),
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
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *permitTable) {
		if entry := (*l)[c.Upstream]; entry != nil {
			entry.coordinator.Cancel(from, c.RequestID)
		}
	})
}
