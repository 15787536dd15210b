package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
)

// asked decides on another router's ask.
func (n *Node) asked(now time.Time, from Hello, a Ask) Effects {
	n.stamped(from.Router, a.Stamp)
	var e Effects
	u, ok := n.Upstream(a.Upstream)
	if !ok || u.DataCentre != n.settings.DataCentre {
		e.send(from.Router, Message{Deny: &Deny{Ask: a.ID}})
		return e
	}
	n.countRunning(from.Router, u.Pool, a.Running)
	v := n.view(now)
	own := table.Read(n.holdings, table.Hold{}, func(h *holdings) int { return h.runningIn(u.Pool) })
	var p permit.Permit
	var outcome permit.Outcome
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		book := n.refresh(v, *l, u)
		p, outcome = book.keeper.Ask(now, n.askOf(now, from, a), v.limits(u, own))
	})
	switch outcome {
	case permit.Granted:
		e.send(from.Router, Message{Grant: n.grantMessage(p)})
	case permit.Denied:
		e.send(from.Router, Message{Deny: &Deny{Ask: a.ID}})
	}
	return e
}

// stamped takes in a time on another router's clock.
func (n *Node) stamped(from core.RouterID, s Stamp) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		l := p.links[from]
		l.theirs = max(l.theirs, s)
		p.links[from] = l
	})
}

func (n *Node) askOf(now time.Time, from Hello, a Ask) permit.Ask {
	seat := core.Seat(0)
	if from.DataCentre == n.settings.DataCentre {
		seat = from.Seat
	}
	return permit.Ask{
		ID: a.ID, Router: from.Router, Incarnation: from.Incarnation, Seat: seat, Upstream: a.Upstream,
		Account: a.Account, Weight: a.Weight, Priority: a.Priority, Suspect: a.Suspect,
		Until: until(now, time.Duration(a.WaitMS)*time.Millisecond),
	}
}

func (n *Node) countRunning(router core.RouterID, pool core.Pool, count int) {
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

func (n *Node) grantReceived(now time.Time, from Hello, g Grant) Effects {
	return n.granted(now, permit.Held{
		Permit: permit.Permit{
			Seq: g.Seq, Ask: g.Ask, Router: n.settings.ID, Incarnation: n.settings.Incarnation,
			Upstream: g.Upstream, Owner: g.Owner, Epoch: g.Epoch, Boot: g.Boot,
		},
		Keeper: permit.Borrower{Keeper: from.Router, Incarnation: from.Incarnation},
		Stamp:  n.timeOf(g.Echo),
	})
}

func (n *Node) denied(ask uint64) Effects {
	wanted := false
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		_, wanted = h.asks[ask]
		delete(h.asks, ask)
	})
	if !wanted {
		return Effects{}
	}
	return Effects{Replies: []Reply{{Ask: ask}}}
}

func (n *Node) cancelled(from core.RouterID, c Cancel) {
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		if book := (*l)[c.Upstream]; book != nil {
			book.keeper.Cancel(from, c.Ask)
		}
	})
}
