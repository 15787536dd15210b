package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
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

func (n *Node) beat(now time.Time, from Hello, b Beat) Effects {
	n.hear(now, from, b)
	n.upstreamsHealth(now, from, b.Health)
	changed := n.settleBeat(now, from, b)
	var e Effects
	for _, id := range changed {
		e.add(n.serve(now, id))
	}
	if b.Speak {
		e.send(from.Router, Message{Beat: n.beatTo(n.view(now), from.Router)})
	}
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		if snapshot := c.reader.Snapshot(); snapshot.Revision.Number > b.Revision {
			e.send(from.Router, Message{Snapshot: &snapshot})
		}
	})
	return e
}

// hear updates the tables of members and links.
func (n *Node) hear(now time.Time, from Hello, b Beat) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		known, ok := p.members.Get(from.Router)
		if ok && known.Incarnation > from.Incarnation {
			return
		}
		if !known.Alive(now, n.settings.Lease.Silence()) || known.Leaving != b.Leaving {
			n.changed()
		}
		router := from.member()
		router.Revision = b.Revision
		router.Leaving = b.Leaving
		p.members.Hear(now, router)
		l := p.links[from.Router]
		l.theirs = max(l.theirs, b.Stamp)
		l.mine = max(l.mine, b.Echo)
		l.speak = false
		l.running = map[core.Pool]int{}
		for _, r := range b.Running {
			l.running[r.Pool] = r.Count
		}
		p.links[from.Router] = l
		if from.DataCentre != n.settings.DataCentre {
			p.members.HearSeats(now, from.DataCentre, b.Alive)
		}
	})
}

// upstreamsHealth takes over the state of upstreams from their keeper.
func (n *Node) upstreamsHealth(now time.Time, from Hello, health []Health) {
	if from.DataCentre != n.settings.DataCentre {
		return
	}
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, t *upstreams) {
		for _, h := range health {
			u, ok := t.byID[h.Upstream]
			if !ok {
				continue
			}
			n.put(t, u, h.apply(now, u.State))
		}
	})
}

// ageTolerance is the difference between two views of a ramp's start that is
// not worth a change.
const ageTolerance = 250 * time.Millisecond

func (h Health) apply(now time.Time, s upstream.State) upstream.State {
	since := time.Time{}
	if h.AgeMS >= 0 {
		since = now.Add(-time.Duration(h.AgeMS) * time.Millisecond)
	}
	if d := since.Sub(s.Since); s.Boot == h.Boot && s.Down == h.Down && -ageTolerance < d && d < ageTolerance {
		return s
	}
	s.Boot = h.Boot
	s.Since = since
	s.Down = h.Down
	if s.Down {
		s.Retry = now.Add(upstream.RetryPause)
	}
	return s
}

// settleBeat takes in what a heartbeat says of loans and permits. It returns
// the upstreams whose queues may be served.
func (n *Node) settleBeat(now time.Time, from Hello, b Beat) []core.UpstreamID {
	var changed []core.UpstreamID
	local := from.DataCentre == n.settings.DataCentre
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, s := range b.Held {
			if book := (*l)[s.Upstream]; book != nil {
				book.keeper.Sync(from.Router, from.Incarnation, s.Seen, s.Held)
				changed = append(changed, s.Upstream)
			}
		}
		for _, loan := range b.Loans {
			if book := (*l)[loan.Upstream]; book != nil && local && b.Echo != 0 {
				book.keeper.Entrust(permit.Trust{
					Owner: from.Seat, Epoch: loan.Epoch, Amount: loan.Amount, Owed: loan.Owed, Stamp: n.timeOf(b.Echo),
				})
				changed = append(changed, loan.Upstream)
			}
		}
		for _, c := range b.Confirmed {
			if book := (*l)[c.Upstream]; book != nil {
				book.share.Acknowledge(from.Router, c.Epoch, c.Amount)
			}
		}
		if b.Spoken && b.Echo != 0 {
			n.spoken(now, *l, from.Router, n.timeOf(b.Echo), b.Claims)
		}
	})
	return changed
}

func (n *Node) spoken(now time.Time, l ledgers, router core.RouterID, said time.Time, claims []permit.Claim) {
	for id, book := range l {
		var here []permit.Claim
		for _, c := range claims {
			if c.Upstream == id {
				here = append(here, c)
			}
		}
		book.share.Speak(now, router, said, here)
	}
}

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
