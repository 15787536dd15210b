package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// PermitSpec describes the permit that a request needs.
type PermitSpec struct {
	Upstream core.UpstreamID
	Account  core.Account
	Weight   int
	Priority int
	Suspect  bool
	// Wait is how long the request waits for a unit; zero requests an immediate
	// decision.
	Wait time.Duration
}

// AcquireResult is the result of Acquire. After permit.Queued, the decision follows
// as a Reply with the same RequestID. None follows for a request that is
// withdrawn with Withdraw or whose Wait has passed; callers withdraw the latter.
type AcquireResult struct {
	Decision  permit.Decision
	RequestID uint64
	Held      permit.Held
}

// Acquire requests a permit from the upstream's coordinator. If that is this
// router, the request is granted, queued or denied at once; otherwise it is
// pending, and the effects contain the message to the coordinator. It is denied
// if the upstream is unknown or has no coordinator.
func (n *Node) Acquire(now time.Time, spec PermitSpec) (AcquireResult, Effects) {
	u, ok := n.Upstream(spec.Upstream)
	if !ok {
		return AcquireResult{}, Effects{}
	}
	v := n.view(now)
	coordinator, ok := v.coordinatorOf(u)
	if !ok {
		return AcquireResult{}, Effects{}
	}
	if coordinator.ID == n.settings.ID {
		return n.acquireLocal(v, u, spec), Effects{}
	}
	return n.acquireRemote(v, u, spec, coordinator)
}

// registerRequest records a pending request. It returns the request's ID and the
// number of the pool's permits that this router holds, including the requested
// one.
func (n *Node) registerRequest(u upstream.Upstream, coordinator permit.CoordinatorID) (uint64, int) {
	var id uint64
	running := 1
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		h.lastID++
		id = h.lastID
		h.requests[id] = pendingRequest{upstream: u.ID, pool: u.Pool, coordinator: coordinator}
		running += h.heldIn(u.Pool)
	})
	return id, running
}

func (n *Node) acquireLocal(v view, u upstream.Upstream, spec PermitSpec) AcquireResult {
	self := permit.CoordinatorID{Router: n.settings.ID, Incarnation: n.settings.Incarnation}
	id, running := n.registerRequest(u, self)
	request := permit.Request{
		ID: id, Router: n.settings.ID, Incarnation: n.settings.Incarnation, Seat: n.settings.Seat,
		Upstream: u.ID, Account: spec.Account, Weight: spec.Weight, Priority: spec.Priority, Suspect: spec.Suspect,
		Deadline: requestDeadline(v.now, spec.Wait),
	}
	var p permit.Permit
	var decision permit.Decision
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		entry := n.refreshEntry(v, *t, u)
		p, decision = entry.coordinator.Acquire(v.now, request, v.limits(u, running))
	})
	result := AcquireResult{Decision: decision, RequestID: id}
	if decision == permit.Granted {
		result.Held = permit.Held{Permit: p, Coordinator: self, Pool: u.Pool, StampedAt: v.now}
	}
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		if decision == permit.Granted {
			h.held.Add(result.Held)
		}
		if decision != permit.Queued {
			delete(h.requests, id)
		}
	})
	return result
}

func requestDeadline(now time.Time, wait time.Duration) time.Time {
	if wait <= 0 {
		return time.Time{}
	}
	return now.Add(wait)
}

func (n *Node) acquireRemote(v view, u upstream.Upstream, spec PermitSpec, coordinator instance.Router) (AcquireResult, Effects) {
	id, running := n.registerRequest(u, permit.CoordinatorID{Router: coordinator.ID, Incarnation: coordinator.Incarnation})
	var e Effects
	e.send(coordinator.ID, Message{PermitRequest: &PermitRequest{
		ID: id, Stamp: n.stamp(v.now), Upstream: u.ID, Account: spec.Account, Weight: spec.Weight,
		Priority: spec.Priority, Suspect: spec.Suspect, WaitMS: spec.Wait.Milliseconds(), Running: running,
	}})
	return AcquireResult{Decision: permit.Queued, RequestID: id}, e
}

// Withdraw abandons a pending request. If the permit is granted later, it is
// released. Withdraw returns false if the request has been decided, so that its
// reply is on the way. NoResponse reports that the coordinator should have
// decided at once: it is then marked unreachable, and not chosen again until it
// is next seen.
func (n *Node) Withdraw(request uint64, noResponse bool) (bool, Effects) {
	var e Effects
	var p pendingRequest
	var ok bool
	n.holdings.Do(table.Hold{}, func(_ table.Hold, h *holdings) {
		p, ok = h.requests[request]
		delete(h.requests, request)
	})
	if !ok {
		return false, e
	}
	if p.coordinator.Router != n.settings.ID {
		e.send(p.coordinator.Router, Message{Cancel: &Cancel{RequestID: request, Upstream: p.upstream}})
		if noResponse {
			n.markUnreachable(p.coordinator.Router)
		}
		return true, e
	}
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		if entry := (*t)[p.upstream]; entry != nil {
			entry.coordinator.Cancel(n.settings.ID, request)
		}
	})
	return true, e
}

// RefreshRequest sends the current stamp to the coordinator of a pending request,
// so that a permit granted later may still be used.
func (n *Node) RefreshRequest(now time.Time, request uint64) Effects {
	var e Effects
	coordinator := table.Read(n.holdings, table.Hold{}, func(h *holdings) core.RouterID { return h.requests[request].coordinator.Router })
	if coordinator != "" && coordinator != n.settings.ID {
		e.send(coordinator, Message{Ping: &Ping{Stamp: n.stamp(now)}})
	}
	return e
}

// Validity is the result of CheckPermit.
type Validity int

const (
	// Valid means that a request may be sent now.
	Valid Validity = iota
	// PermitExpired means that the permit is too old, or its upstream is unknown.
	PermitExpired
	// BootMismatch means that the coordinator granted the permit for another
	// process of the upstream than the one known here. A load report shows which
	// is current.
	BootMismatch
)

// CheckPermit decides whether a request may be sent on a permit now. Callers
// check just before sending.
func (n *Node) CheckPermit(now time.Time, h permit.Held) Validity {
	u, ok := n.Upstream(h.Upstream)
	switch {
	case !ok || !h.Usable(now, n.settings.LeaseTiming):
		return PermitExpired
	case h.Boot != "" && u.State.Boot != "" && h.Boot != u.State.Boot:
		return BootMismatch
	case h.Boot != "" && u.State.Boot == "":
		// Record the permit's process, so that ObserveBoot returns false if a new
		// connection shows another one.
		n.observe(now, h.Upstream, Responded, h.Boot)
	}
	return Valid
}

// Finish ends a permit and records what its holder observed of the upstream.
func (n *Node) Finish(now time.Time, h permit.Held, o Outcome, boot string) Effects {
	n.holdings.Do(table.Hold{}, func(_ table.Hold, t *holdings) {
		t.held.Remove(h)
	})
	n.observe(now, h.Upstream, o, boot)
	if h.Coordinator.Router != n.settings.ID {
		var e Effects
		e.send(h.Coordinator.Router, Message{Release: &Release{Upstream: h.Upstream, Seq: h.Seq, Outcome: o, Boot: boot}})
		return e
	}
	return n.release(now, h.Upstream, n.settings.ID, n.settings.Incarnation, h.Seq)
}

// release ends a permit that this router granted and grants queued requests.
func (n *Node) release(now time.Time, id core.UpstreamID, router core.RouterID, in core.Incarnation, seq uint64) Effects {
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		if entry := (*t)[id]; entry != nil {
			entry.coordinator.Release(router, in, seq)
		}
	})
	return n.grantQueued(now, id)
}

// grantQueued grants permits to queued requests for one upstream.
func (n *Node) grantQueued(now time.Time, id core.UpstreamID) Effects {
	u, ok := n.Upstream(id)
	if !ok || u.DataCentre != n.settings.DataCentre {
		return Effects{}
	}
	waiting := table.Read(n.permits, table.Hold{}, func(t *permitTable) bool {
		entry := (*t)[id]
		return entry != nil && entry.coordinator.Waiting() > 0
	})
	if !waiting {
		return Effects{}
	}
	v := n.view(now)
	localCount := table.Read(n.holdings, table.Hold{}, func(h *holdings) int { return h.heldOrRequestedIn(u.Pool) })
	var granted []permit.Permit
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		entry := n.refreshEntry(v, *t, u)
		granted = entry.coordinator.GrantQueued(now, v.limits(u, localCount))
	})
	return n.deliver(now, granted)
}

// deliver sends granted permits to the routers that requested them.
func (n *Node) deliver(now time.Time, granted []permit.Permit) Effects {
	var e Effects
	for _, p := range granted {
		if p.Router != n.settings.ID {
			e.send(p.Router, Message{Grant: n.grantMessage(p)})
			continue
		}
		self := permit.CoordinatorID{Router: n.settings.ID, Incarnation: n.settings.Incarnation}
		e.add(n.granted(now, permit.Held{Permit: p, Coordinator: self, StampedAt: now}))
	}
	return e
}

// granted records a granted permit and answers its request, or returns the permit
// if the request was withdrawn.
func (n *Node) granted(now time.Time, h permit.Held) Effects {
	var added, pending bool
	n.holdings.Do(table.Hold{}, func(_ table.Hold, t *holdings) {
		var request pendingRequest
		request, pending = t.requests[h.RequestID]
		h.Pool = request.pool
		added = t.held.Add(h)
		delete(t.requests, h.RequestID)
	})
	switch {
	case added && pending:
		return Effects{Replies: []Reply{{RequestID: h.RequestID, Granted: true, Held: h}}}
	case added:
		return n.Finish(now, h, Unused, "")
	default:
		return Effects{}
	}
}

func (n *Node) grantMessage(p permit.Permit) *Grant {
	echo := table.Read(n.peers, table.Hold{}, func(t *peers) Stamp { return t.links[p.Router].lastReceived })
	return &Grant{
		RequestID: p.RequestID, Seq: p.Seq, Upstream: p.Upstream, Owner: p.Owner, Epoch: p.Epoch, Boot: p.Boot, Echo: echo,
	}
}

// TrackWithoutPermit counts a request that is sent without a permit, as the
// baseline policies do.
func (n *Node) TrackWithoutPermit(id core.UpstreamID) permit.Held {
	u, _ := n.Upstream(id)
	h := permit.Held{Permit: permit.Permit{Upstream: id}, Pool: u.Pool, Coordinator: permit.CoordinatorID{Router: n.settings.ID}}
	n.holdings.Do(table.Hold{}, func(_ table.Hold, t *holdings) {
		t.lastID++
		h.Seq = t.lastID
		t.held.Add(h)
	})
	return h
}
