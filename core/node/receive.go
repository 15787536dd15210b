package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
)

// Receive takes in a message. The sender is the router that said Hello on the
// connection.
func (n *Node) Receive(now time.Time, from Hello, m Message) Effects {
	switch {
	case m.Hello != nil:
		return n.hello(now, *m.Hello)
	case m.Beat != nil:
		return n.beat(now, from, *m.Beat)
	case m.Ask != nil:
		return n.asked(now, from, *m.Ask)
	case m.Grant != nil:
		return n.grantReceived(now, from, *m.Grant)
	case m.Deny != nil:
		return n.denied(m.Deny.Ask)
	case m.Cancel != nil:
		n.cancelled(from.Router, *m.Cancel)
	case m.Release != nil:
		r := *m.Release
		n.observe(now, r.Upstream, r.Outcome, r.Boot)
		return n.release(now, r.Upstream, from.Router, from.Incarnation, r.Seq)
	case m.Snapshot != nil:
		return n.Adopt(now, *m.Snapshot)
	case m.Ping != nil:
		n.stamped(from.Router, m.Ping.Stamp)
	case m.Suspect != nil:
		n.Suspect(now, *m.Suspect)
	}
	return Effects{}
}

func (h Hello) member() instance.Router {
	return instance.Router{
		ID: h.Router, DataCentre: h.DataCentre, Seat: h.Seat, Address: h.Address, Incarnation: h.Incarnation,
	}
}

// hello takes in who a router is. A newer process in the own seat supersedes
// this one. Permits of the router's earlier process have ended with it.
func (n *Node) hello(now time.Time, h Hello) Effects {
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
		p.members.Hear(now, h.member())
		if h.Router != n.settings.ID && h.DataCentre == n.settings.DataCentre &&
			h.Seat == n.settings.Seat && h.Incarnation > n.settings.Incarnation {
			p.superseded = true
		}
	})
	if stale {
		return Effects{}
	}
	n.changed()
	n.holdings.Do(table.Hold{}, func(_ table.Hold, t *holdings) {
		t.held.Forget(permit.Borrower{Keeper: h.Router, Incarnation: h.Incarnation})
	})
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, book := range *l {
			book.keeper.Sync(h.Router, h.Incarnation, 0, nil)
		}
	})
	return Effects{}
}

// Lost says that the connection to a router broke. Its open asks are answered
// as denied, since their answers may have been lost.
func (n *Node) Lost(router core.RouterID) Effects {
	n.lose(router)
	var e Effects
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		for id, a := range h.asks {
			if a.keeper.Keeper == router {
				delete(h.asks, id)
				e.Replies = append(e.Replies, Reply{Ask: id})
			}
		}
	})
	return e
}

func (n *Node) lose(router core.RouterID) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		p.members.Lose(router)
	})
	n.changed()
}
