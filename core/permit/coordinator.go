package permit

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
)

// Request is a router's request for one permit.
type Request struct {
	// ID is chosen by the requesting router and unique within its incarnation.
	ID          uint64
	Router      core.RouterID
	Incarnation core.Incarnation
	// Seat is the requester's seat; zero if it is in another data centre.
	Seat     core.Seat
	Upstream core.UpstreamID
	Account  core.Account
	Weight   int
	Priority int
	// Suspect marks a request that was running when an upstream crashed. No
	// two suspect requests run at one upstream at a time.
	Suspect bool
	// Deadline is when the requester stops waiting; the zero time requests an
	// immediate decision.
	Deadline time.Time
}

// Permit allows one request to be sent to one upstream.
type Permit struct {
	// Seq numbers the permits for the upstream that one coordinator grants to one
	// router.
	Seq         uint64
	RequestID   uint64
	Router      core.RouterID
	Incarnation core.Incarnation
	Upstream    core.UpstreamID
	// Owner is the seat whose unit backs the permit, and Epoch is that of the
	// owner's lease.
	Owner core.Seat
	Epoch uint64
	// Boot identifies the upstream's process for which the limit was computed.
	Boot    string
	Suspect bool
	// GrantedAt is on the coordinator's clock. It is not sent to the holder, and
	// neither is Suspect.
	GrantedAt time.Time
}

// Allocation is the units of one owner from which a coordinator may grant
// permits: leased to it by another seat, or free in its own share, for which Epoch
// is zero.
type Allocation struct {
	Owner core.Seat
	Epoch uint64
	Units int
	// Outstanding is the number of units that may still be in use on expired
	// leases of the owner.
	Outstanding int
	// StampedAt is the time of the coordinator's stamp that the owner echoed with
	// the lease.
	StampedAt time.Time
}

// Decision is the coordinator's decision on a request.
type Decision int

const (
	// Denied means that no permit is available at once and the request is not
	// queued; the requester tries elsewhere.
	Denied Decision = iota
	// Granted means that the permit may be used.
	Granted
	// Queued means that the request waits; GrantQueued returns its permit.
	Queued
)

// Coordinator grants the permits of one upstream. Its exported fields must be set
// before use; it has no units until Accept records an allocation.
type Coordinator struct {
	// Seat is the coordinator's own seat, whose share needs no lease.
	Seat core.Seat
	// Self is the coordinator's router.
	Self core.RouterID
	// Timing gives the durations of leases.
	Timing      LeaseTiming
	allocations map[core.Seat]Allocation
	outstanding []Permit
	lastSeq     map[core.RouterID]uint64
	queue       account.Queue[Request]
}

// Accept records an owner's current allocation. One with a lower epoch or an
// earlier stamp than the recorded one is ignored.
func (c *Coordinator) Accept(a Allocation) {
	if c.allocations == nil {
		c.allocations = map[core.Seat]Allocation{}
	}
	known := c.allocations[a.Owner]
	if a.Epoch < known.Epoch || a.StampedAt.Before(known.StampedAt) {
		return
	}
	c.allocations[a.Owner] = a
}

// Allocations returns the recorded allocations, sorted by owner.
func (c *Coordinator) Allocations() []Allocation {
	all := make([]Allocation, 0, len(c.allocations))
	for _, a := range c.allocations {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Allocation) int { return cmp.Compare(a.Owner, b.Owner) })
	return all
}

// Outstanding returns the permits that are in use.
func (c *Coordinator) Outstanding() []Permit { return c.outstanding }

// Waiting returns the number of queued requests.
func (c *Coordinator) Waiting() int { return c.queue.Len() }

// InUse returns the number of permits in use on the lease of an owner with the
// given epoch.
func (c *Coordinator) InUse(owner core.Seat, epoch uint64) int {
	n := 0
	for _, p := range c.outstanding {
		if p.Owner == owner && p.Epoch == epoch {
			n++
		}
	}
	return n
}

// ConfirmedUnits returns the number of units that the coordinator may still use
// of an allocation: those allocated, or those in use if there are more.
func (c *Coordinator) ConfirmedUnits(a Allocation) int {
	return max(a.Units, c.InUse(a.Owner, a.Epoch))
}

// InFlight returns how many requests may be running at the upstream as far as
// the coordinator knows: its own permits and the units that may still be in use
// on expired leases. A permit on a lease that its owner has since replaced is
// not counted, since it is part of the owner's Outstanding.
func (c *Coordinator) InFlight() int {
	n := 0
	for _, p := range c.outstanding {
		if a, ok := c.allocations[p.Owner]; !ok || p.Epoch >= a.Epoch {
			n++
		}
	}
	for _, a := range c.allocations {
		n += a.Outstanding
	}
	return n
}

// MaxQueued is the largest number of requests that wait for permits of one
// upstream.
const MaxQueued = 1024

// Acquire grants a permit, queues the request or denies it. It grants none while
// other requests are queued.
func (c *Coordinator) Acquire(now time.Time, r Request, l Limits) (Permit, Decision) {
	if c.queue.Len() == 0 {
		if p, ok := c.tryGrant(now, r, l); ok {
			return p, Granted
		}
	}
	if !now.Before(r.Deadline) || c.queue.Len() >= MaxQueued {
		return Permit{}, Denied
	}
	c.queue.Push(account.Entry[Request]{Account: r.Account, Weight: r.Weight, Priority: r.Priority, Item: r})
	return Permit{}, Queued
}

// GrantQueued drops queued requests whose deadline has passed, without a reply,
// then grants permits to the others while units are free.
func (c *Coordinator) GrantQueued(now time.Time, l Limits) []Permit {
	c.queue.Remove(func(r Request) bool { return !now.Before(r.Deadline) })
	var granted []Permit
	var skipped []account.Entry[Request]
	for c.hasCapacity(l) {
		e, ok := c.queue.Pop()
		if !ok {
			break
		}
		p, ok := c.tryGrant(now, e.Item, l)
		if !ok {
			skipped = append(skipped, e)
			continue
		}
		granted = append(granted, p)
	}
	for _, e := range skipped {
		c.queue.Push(e)
	}
	return granted
}

// Cancel removes a queued request. It reports whether the request was queued.
func (c *Coordinator) Cancel(router core.RouterID, id uint64) bool {
	return c.queue.Remove(func(r Request) bool { return r.Router == router && r.ID == id }) > 0
}

func (c *Coordinator) hasCapacity(l Limits) bool {
	return c.InFlight() < l.MaxInFlight()
}

func (c *Coordinator) tryGrant(now time.Time, r Request, l Limits) (Permit, bool) {
	if !c.hasCapacity(l) || (r.Suspect && c.suspectRunning()) {
		return Permit{}, false
	}
	owner, ok := c.chooseOwner(now, r, l)
	if !ok {
		return Permit{}, false
	}
	if c.lastSeq == nil {
		c.lastSeq = map[core.RouterID]uint64{}
	}
	c.lastSeq[r.Router]++
	p := Permit{
		Seq:         c.lastSeq[r.Router],
		RequestID:   r.ID,
		Router:      r.Router,
		Incarnation: r.Incarnation,
		Upstream:    r.Upstream,
		Owner:       owner,
		Epoch:       c.allocations[owner].Epoch,
		Boot:        l.Boot,
		Suspect:     r.Suspect,
		GrantedAt:   now,
	}
	c.outstanding = append(c.outstanding, p)
	return p, true
}

// suspectRunning reports whether a suspect request may be running.
func (c *Coordinator) suspectRunning() bool {
	return slices.ContainsFunc(c.outstanding, func(p Permit) bool { return p.Suspect })
}

// chooseOwner selects the owner whose unit backs a new permit: the requester
// itself if it has a free unit, otherwise the owner with the most. The
// coordinator's own requests use its own units only, so that every permit on
// another seat's unit is held by a router other than the coordinator.
func (c *Coordinator) chooseOwner(now time.Time, r Request, l Limits) (core.Seat, bool) {
	if r.Seat != 0 && c.freeUnits(now, r.Seat, l) > 0 {
		return r.Seat, true
	}
	if r.Router == c.Self {
		return 0, false
	}
	best, most := core.Seat(0), 0
	for _, a := range c.Allocations() {
		if n := c.freeUnits(now, a.Owner, l); n > most {
			best, most = a.Owner, n
		}
	}
	return best, most > 0
}

// freeUnits returns how many units of an owner may back a new permit.
func (c *Coordinator) freeUnits(now time.Time, owner core.Seat, l Limits) int {
	a, ok := c.allocations[owner]
	if !ok || (owner != c.Seat && now.Sub(a.StampedAt) >= c.Timing.GrantWindow()) {
		return 0
	}
	return l.usable(a) - c.InUse(owner, a.Epoch)
}

// Release ends a permit. It reports whether the permit was in use.
func (c *Coordinator) Release(router core.RouterID, in core.Incarnation, seq uint64) bool {
	return c.remove(func(p Permit) bool { return p.Router == router && p.Incarnation == in && p.Seq == seq })
}

// Reconcile ends the permits that a router no longer holds. A permit that is
// not in held has ended if its sequence number is at most lastSeq, the highest
// that the router had received when it made its report; a permit above that may
// still be on its way to the router. Permits of the router's earlier
// incarnations ended with their process.
func (c *Coordinator) Reconcile(router core.RouterID, in core.Incarnation, lastSeq uint64, held []uint64) {
	c.remove(func(p Permit) bool {
		if p.Router != router || p.Incarnation > in {
			return false
		}
		return p.Incarnation < in || (p.Seq <= lastSeq && !slices.Contains(held, p.Seq))
	})
}

// RemoveOverdue ends the permits that were granted more than maxAge ago, since no
// request may run for that long.
func (c *Coordinator) RemoveOverdue(now time.Time, maxAge time.Duration) {
	c.remove(func(p Permit) bool { return now.Sub(p.GrantedAt) > maxAge })
}

func (c *Coordinator) remove(ended func(Permit) bool) bool {
	before := len(c.outstanding)
	c.outstanding = slices.DeleteFunc(c.outstanding, ended)
	return len(c.outstanding) < before
}
