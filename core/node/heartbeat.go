package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// receiveHeartbeat applies a heartbeat. It answers with a heartbeat if the sender
// requests claims, and with a snapshot of the configuration if the sender's
// revision is older.
func (n *Node) receiveHeartbeat(now time.Time, from Hello, b Beat) Effects {
	n.updatePeer(now, from, b)
	n.applyHealth(now, from, b.Health)
	changed := n.updatePermits(now, from, b)
	var e Effects
	for _, id := range changed {
		e.add(n.grantQueued(now, id))
	}
	if b.Speak {
		e.send(from.Router, Message{Beat: n.heartbeatTo(n.view(now), from.Router)})
	}
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		if snapshot := c.reader.Snapshot(); snapshot.Revision.Number > b.Revision {
			e.send(from.Router, Message{Snapshot: &snapshot})
		}
	})
	return e
}

// updatePeer records the sender of a heartbeat in the tables of members and
// links.
func (n *Node) updatePeer(now time.Time, from Hello, b Beat) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		known, ok := p.members.Get(from.Router)
		if ok && known.Incarnation > from.Incarnation {
			return
		}
		if !known.Alive(now, n.settings.Lease.FailureTimeout()) || known.Leaving != b.Leaving {
			n.invalidateView()
		}
		router := from.router()
		router.Revision = b.Revision
		router.Leaving = b.Leaving
		p.members.RecordHeartbeat(now, router)
		l := p.links[from.Router]
		l.lastReceived = max(l.lastReceived, b.Stamp)
		l.lastEchoed = max(l.lastEchoed, b.Echo)
		l.claimsRequested = false
		l.running = map[core.Pool]int{}
		for _, r := range b.Running {
			l.running[r.Pool] = r.Count
		}
		p.links[from.Router] = l
		if from.DataCentre != n.settings.DataCentre {
			p.members.RecordLiveSeats(now, from.DataCentre, b.Alive)
		}
	})
}

// applyHealth applies the state of upstreams as reported by their coordinator.
func (n *Node) applyHealth(now time.Time, from Hello, health []Health) {
	if from.DataCentre != n.settings.DataCentre {
		return
	}
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, t *upstreams) {
		for _, h := range health {
			u, ok := t.byID[h.Upstream]
			if !ok {
				continue
			}
			n.putState(t, u, h.apply(now, u.State))
		}
	})
}

// ageTolerance is the difference between two reports of a ramp's start below
// which the state is not replaced.
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

// updatePermits applies what a heartbeat reports of leases and permits. It
// returns the upstreams whose queued requests may now be granted.
func (n *Node) updatePermits(now time.Time, from Hello, b Beat) []core.UpstreamID {
	var changed []core.UpstreamID
	local := from.DataCentre == n.settings.DataCentre
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *permitTable) {
		for _, s := range b.Held {
			if entry := (*l)[s.Upstream]; entry != nil {
				entry.coordinator.Reconcile(from.Router, from.Incarnation, s.Seen, s.Held)
				changed = append(changed, s.Upstream)
			}
		}
		for _, lease := range b.Loans {
			if entry := (*l)[lease.Upstream]; entry != nil && local && b.Echo != 0 {
				entry.coordinator.Accept(permit.Allocation{
					Owner: from.Seat, Epoch: lease.Epoch, Units: lease.Amount, Outstanding: lease.Owed, EchoedAt: n.timeOfStamp(b.Echo),
				})
				changed = append(changed, lease.Upstream)
			}
		}
		for _, c := range b.Confirmed {
			if entry := (*l)[c.Upstream]; entry != nil {
				entry.share.Confirm(from.Router, c.Epoch, c.Amount)
			}
		}
		if b.Spoken && b.Echo != 0 {
			n.recordClaims(now, *l, from.Router, n.timeOfStamp(b.Echo), b.Claims)
		}
	})
	return changed
}

func (n *Node) recordClaims(now time.Time, l permitTable, router core.RouterID, madeAfter time.Time, claims []permit.Claim) {
	for id, entry := range l {
		var ofUpstream []permit.Claim
		for _, c := range claims {
			if c.Upstream == id {
				ofUpstream = append(ofUpstream, c)
			}
		}
		entry.share.RecordClaims(now, router, madeAfter, ofUpstream)
	}
}
