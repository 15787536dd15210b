package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// beat takes in a heartbeat.
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
	if d := since.Sub(s.RampStart); s.Boot == h.Boot && s.Down == h.Down && -ageTolerance < d && d < ageTolerance {
		return s
	}
	s.Boot = h.Boot
	s.RampStart = since
	s.Down = h.Down
	if s.Down {
		s.RetryAt = now.Add(upstream.RetryInterval)
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
