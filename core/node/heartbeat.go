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
// revision is older and it is this router's turn to send one.
func (n *Node) receiveHeartbeat(now time.Time, from Handshake, hb Heartbeat) Effects {
	n.updatePeer(now, from, hb)
	n.applyHealth(now, from, hb.Health)
	changed := n.updatePermits(now, from, hb)
	var e Effects
	for _, id := range changed {
		e.add(n.grantQueued(now, id))
	}
	if hb.RequestClaims {
		e.send(from.Router, Message{Heartbeat: n.heartbeatTo(n.view(now), from.Router)})
	}
	if snapshot := n.configurationFor(now, from.Router, hb.Revision); snapshot != nil {
		e.send(from.Router, Message{Snapshot: snapshot})
	}
	return e
}

// updatePeer records the sender of a heartbeat in the tables of members and
// links.
func (n *Node) updatePeer(now time.Time, from Handshake, hb Heartbeat) {
	n.peers.Do(table.Hold{}, func(_ table.Hold, p *peers) {
		known, ok := p.members.Get(from.Router)
		if ok && known.Incarnation > from.Incarnation {
			return
		}
		if !known.Alive(now, n.settings.LeaseTiming.FailureTimeout()) || known.ShuttingDown != hb.ShuttingDown {
			n.invalidateView()
		}
		router := from.router()
		router.Revision = hb.Revision
		router.ShuttingDown = hb.ShuttingDown
		p.members.RecordSeen(now, router)
		l := p.links[from.Router]
		l.lastReceived = max(l.lastReceived, hb.Stamp)
		l.lastEchoed = max(l.lastEchoed, hb.Echo)
		l.claimsRequested = false
		l.poolPermits = map[core.Pool]int{}
		for _, r := range hb.Running {
			l.poolPermits[r.Pool] = r.Count
		}
		p.links[from.Router] = l
		if from.DataCentre != n.settings.DataCentre {
			p.members.RecordLiveSeats(now, from.DataCentre, hb.LiveSeats)
		}
	})
}

// applyHealth applies the state of upstreams as reported by a router of this data
// centre that coordinates them.
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

// rampStartTolerance is the difference between the recorded and the reported start
// of a ramp below which the state is not replaced.
const rampStartTolerance = 250 * time.Millisecond

func (h Health) apply(now time.Time, s upstream.State) upstream.State {
	rampStart := time.Time{}
	if h.AgeMS >= 0 {
		rampStart = now.Add(-time.Duration(h.AgeMS) * time.Millisecond)
	}
	if d := rampStart.Sub(s.RampStart); s.Boot == h.Boot && s.Down == h.Down && -rampStartTolerance < d && d < rampStartTolerance {
		return s
	}
	s.Boot = h.Boot
	s.RampStart = rampStart
	s.Down = h.Down
	if s.Down {
		s.RetryAt = now.Add(upstream.RetryInterval)
	}
	return s
}

// updatePermits applies what a heartbeat reports of leases and permits. It
// returns the upstreams whose queued requests may now be granted.
func (n *Node) updatePermits(now time.Time, from Handshake, hb Heartbeat) []core.UpstreamID {
	var changed []core.UpstreamID
	local := from.DataCentre == n.settings.DataCentre
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, s := range hb.Held {
			if entry := (*t)[s.Upstream]; entry != nil {
				entry.coordinator.Reconcile(from.Router, from.Incarnation, s.LastSeq, s.Held)
				changed = append(changed, s.Upstream)
			}
		}
		for _, lease := range hb.Leases {
			if entry := (*t)[lease.Upstream]; entry != nil && local && hb.Echo != 0 {
				entry.coordinator.Accept(permit.Allocation{
					Owner: from.Seat, Epoch: lease.Epoch, Units: lease.Units, Outstanding: lease.Outstanding, StampedAt: n.timeOfStamp(hb.Echo),
				})
				changed = append(changed, lease.Upstream)
			}
		}
		for _, c := range hb.Confirmed {
			if entry := (*t)[c.Upstream]; entry != nil && hb.Echo != 0 {
				entry.share.Confirm(from.Router, c.Epoch, c.Units, n.timeOfStamp(hb.Echo))
			}
		}
		if hb.ClaimsComplete && hb.Echo != 0 {
			n.recordClaims(now, *t, from.Router, n.timeOfStamp(hb.Echo), hb.Claims)
		}
	})
	return changed
}

func (n *Node) recordClaims(now time.Time, t permitTable, router core.RouterID, madeAfter time.Time, claims []permit.Claim) {
	for id, entry := range t {
		var ofUpstream []permit.Claim
		for _, c := range claims {
			if c.Upstream == id {
				ofUpstream = append(ofUpstream, c)
			}
		}
		entry.share.RecordClaims(now, router, madeAfter, ofUpstream)
	}
}
