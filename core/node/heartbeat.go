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
func (n *Node) receiveHeartbeat(now time.Time, from Handshake, b Heartbeat) Effects {
	n.updatePeer(now, from, b)
	n.applyHealth(now, from, b.Health)
	changed := n.updatePermits(now, from, b)
	var e Effects
	for _, id := range changed {
		e.add(n.grantQueued(now, id))
	}
	if b.RequestClaims {
		e.send(from.Router, Message{Heartbeat: n.heartbeatTo(n.view(now), from.Router)})
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
func (n *Node) updatePeer(now time.Time, from Handshake, b Heartbeat) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		known, ok := p.members.Get(from.Router)
		if ok && known.Incarnation > from.Incarnation {
			return
		}
		if !known.Alive(now, n.settings.LeaseTiming.FailureTimeout()) || known.ShuttingDown != b.ShuttingDown {
			n.invalidateView()
		}
		router := from.router()
		router.Revision = b.Revision
		router.ShuttingDown = b.ShuttingDown
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
			p.members.RecordLiveSeats(now, from.DataCentre, b.LiveSeats)
		}
	})
}

// applyHealth applies the state of upstreams as reported by their coordinator.
func (n *Node) applyHealth(now time.Time, from Handshake, health []Health) {
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

// updatePermits applies what a heartbeat reports of leases and permits. It
// returns the upstreams whose queued requests may now be granted.
func (n *Node) updatePermits(now time.Time, from Handshake, b Heartbeat) []core.UpstreamID {
	var changed []core.UpstreamID
	local := from.DataCentre == n.settings.DataCentre
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *permitTable) {
		for _, s := range b.Held {
			if entry := (*l)[s.Upstream]; entry != nil {
				entry.coordinator.Reconcile(from.Router, from.Incarnation, s.LastSeq, s.Held)
				changed = append(changed, s.Upstream)
			}
		}
		for _, lease := range b.Leases {
			if entry := (*l)[lease.Upstream]; entry != nil && local && b.Echo != 0 {
				entry.coordinator.Accept(permit.Allocation{
					Owner: from.Seat, Epoch: lease.Epoch, Units: lease.Units, Outstanding: lease.Outstanding, EchoedAt: n.timeOfStamp(b.Echo),
				})
				changed = append(changed, lease.Upstream)
			}
		}
		for _, c := range b.Confirmed {
			if entry := (*l)[c.Upstream]; entry != nil {
				entry.share.Confirm(from.Router, c.Epoch, c.Units)
			}
		}
		if b.ClaimsComplete && b.Echo != 0 {
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
