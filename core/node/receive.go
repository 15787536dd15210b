package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
)

// Receive handles a message. From is the handshake that was received on the
// connection.
func (n *Node) Receive(now time.Time, from Handshake, m Message) Effects {
	switch {
	case m.Handshake != nil:
		return n.receiveHandshake(now, *m.Handshake)
	case m.Heartbeat != nil:
		return n.receiveHeartbeat(now, from, *m.Heartbeat)
	case m.PermitRequest != nil:
		return n.receiveRequest(now, from, *m.PermitRequest)
	case m.Grant != nil:
		return n.receiveGrant(now, from, *m.Grant)
	case m.Deny != nil:
		return n.receiveDeny(m.Deny.RequestID)
	case m.Cancel != nil:
		n.receiveCancel(from.Router, *m.Cancel)
	case m.Release != nil:
		r := *m.Release
		n.observe(now, r.Upstream, r.Outcome, r.Boot)
		return n.release(now, r.Upstream, from.Router, from.Incarnation, r.Seq)
	case m.Snapshot != nil:
		return n.ApplySnapshot(now, *m.Snapshot)
	case m.Ping != nil:
		n.receiveStamp(from.Router, m.Ping.Stamp)
	case m.Suspect != nil:
		n.RecordSuspect(now, *m.Suspect)
	}
	return Effects{}
}

func (h Handshake) router() instance.Router {
	return instance.Router{
		ID: h.Router, DataCentre: h.DataCentre, Seat: h.Seat, Address: h.Address, Incarnation: h.Incarnation,
	}
}

// receiveHandshake records the identity of a router and ends the permits of its
// earlier processes. A newer process in this router's seat supersedes this one.
// The handshake of an earlier process than the known one is ignored.
func (n *Node) receiveHandshake(now time.Time, h Handshake) Effects {
	stale := false
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		known, ok := p.members.Get(h.Router)
		if ok && known.Incarnation > h.Incarnation {
			stale = true
			return
		}
		if ok && known.Incarnation < h.Incarnation {
			delete(p.links, h.Router)
		}
		p.members.RecordSeen(now, h.router())
		if h.Router != n.settings.ID && h.DataCentre == n.settings.DataCentre &&
			h.Seat == n.settings.Seat && h.Incarnation > n.settings.Incarnation {
			p.superseded = true
		}
	})
	if stale {
		return Effects{}
	}
	n.invalidateView()
	n.holdings.Do(table.Hold{}, func(_ table.Hold, t *holdings) {
		t.held.ForgetOtherIncarnations(permit.CoordinatorID{Router: h.Router, Incarnation: h.Incarnation})
	})
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, entry := range *t {
			entry.coordinator.Reconcile(h.Router, h.Incarnation, 0, nil)
		}
	})
	return Effects{}
}

// ConnectionLost records that the connection to a router broke. Pending requests
// to it are denied, since their decisions may have been lost.
func (n *Node) ConnectionLost(router core.RouterID) Effects {
	n.markUnreachable(router)
	var e Effects
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		for id, r := range h.requests {
			if r.coordinator.Router == router {
				delete(h.requests, id)
				e.Replies = append(e.Replies, Reply{RequestID: id})
			}
		}
	})
	return e
}

func (n *Node) markUnreachable(router core.RouterID) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.MarkUnreachable(router)
	})
	n.invalidateView()
}
