// Package dispatch decides which requests get the slots of a pool of applications that has
// fewer slots than there are routers. One router, the dispatcher, holds a Dispatcher for the
// pool and grants the slots to the requests of all routers. The package has no sockets, clocks
// or goroutines: the time is an argument, and what follows for other requests is returned.
package dispatch

import (
	"time"

	"camphorpulley.org/core"
)

const (
	// firstRunTime is the run time that is assumed until one is known.
	firstRunTime = 50 * time.Millisecond
	// minLease and leaseRuns bound how long a slot that isn't returned counts as taken: a few
	// run times of a slow host, since the answers of a router that has died never come.
	minLease  = time.Second
	leaseRuns = 20
	// maxGrants and maxQueued bound the memory of a pool, in requests.
	maxGrants = 4096
	maxQueued = 512
	// maxPassed is how many requests that can't use the free slots are passed over for others at
	// a time.
	maxPassed = 16
	// beyondSlots is how many requests beyond its slots an upstream may have, so that a slot
	// that becomes free doesn't wait for two messages.
	beyondSlots = 1
)

// grant is a slot that is taken. Those that were found at an upstream have no router.
type grant struct {
	host *host
	at   time.Time
	// lease is until when the slot counts as taken. unpaced is true if the time that the request
	// takes says little of the upstream's pace: it is a stream, or one beyond the slots.
	lease   time.Time
	unpaced bool
}

// Dispatcher grants the slots of one pool. The zero value has no upstreams.
type Dispatcher struct {
	limits Limits
	hosts  []*host
	grants map[Key]grant
	queue  []queued
	floors floors
	// returns holds when refused callers return, in ascending order.
	returns []time.Time
	// usual is the run time that is usual in the pool; zero until one is known.
	usual time.Duration
	// found numbers the grants without a router, asked the requests that have asked.
	found, asked uint64
}

// usualWeight is the weight of a run time in the usual one of the pool.
const usualWeight = 0.02

// usualRun returns the usual run time.
func (d *Dispatcher) usualRun() time.Duration {
	if d.usual <= 0 {
		return firstRunTime
	}
	return d.usual
}

// Update sets the limits and the upstreams that may get work. Slots at an upstream that leaves
// stay taken until they are returned.
func (d *Dispatcher) Update(now time.Time, l Limits, all []Upstream) {
	d.limits = l
	known := map[core.UpstreamID]*host{}
	for _, h := range d.hosts {
		known[h.ID] = h
	}
	d.hosts = d.hosts[:0]
	for _, u := range all {
		h := known[u.ID]
		if h == nil {
			h = &host{}
			d.takeFound(now, h, u.Running)
		}
		h.Upstream = u
		d.hosts = append(d.hosts, h)
	}
}

// takeFound counts requests that an upstream had before this dispatcher granted any. They end
// about one run time later.
func (d *Dispatcher) takeFound(now time.Time, h *host, count int) {
	for range min(max(count, 0), maxGrants-len(d.grants)) {
		d.found++
		d.take(Key{Number: d.found}, grant{host: h, at: now, lease: now.Add(d.usualRun())})
	}
}

func (d *Dispatcher) take(k Key, g grant) {
	if d.grants == nil {
		d.grants = map[Key]grant{}
	}
	d.grants[k] = g
	g.host.add(g.at)
}

func (d *Dispatcher) drop(k Key) (grant, bool) {
	g, ok := d.grants[k]
	if ok {
		delete(d.grants, k)
		g.host.remove(g.at)
	}
	return g, ok
}

// Ask decides on a request, and on others that have become due. The decision on the request
// itself is the last one. A request that has a slot already gets that again.
func (d *Dispatcher) Ask(now time.Time, r Request) []Decision {
	all := d.Expire(now)
	if g, ok := d.grants[r.Key]; ok {
		return append(all, Decision{Key: r.Key, Kind: Granted, Upstream: g.host.ID})
	}
	d.removeQueued(r.Key)
	if len(d.queue) >= maxQueued || len(d.grants) >= maxGrants {
		return append(all, d.refuse(now, r))
	}
	d.floors.wait(r, d.queue)
	d.asked++
	q := queued{Request: r, at: now, serial: d.asked, latest: d.latestEnd(now, r)}
	ahead := d.ahead(q)
	d.queue = append(d.queue, q)
	all = append(all, d.assign(now)...)
	if d.queuedAt(r.Key) < 0 {
		return moveLast(all, r.Key)
	}
	if d.expectedEnd(now, ahead).After(q.latest) {
		d.removeQueued(r.Key)
		return append(all, d.refuse(now, r))
	}
	return append(all, Decision{Key: r.Key, Kind: Queued, After: max(d.latestStart(q).Sub(now), time.Millisecond)})
}

// moveLast moves the decision on a request to the end.
func moveLast(all []Decision, k Key) []Decision {
	for i, decision := range all {
		if decision.Key == k {
			return append(append(all[:i:i], all[i+1:]...), decision)
		}
	}
	return all
}

// Return ends a slot, or the wait of a request for one, and decides on those that wait. Ran is
// the time from the sending of the request to the end of its answer.
func (d *Dispatcher) Return(now time.Time, k Key, o Outcome, ran time.Duration) []Decision {
	d.removeQueued(k)
	if g, ok := d.drop(k); ok {
		d.observe(now, g, o, ran)
	}
	return append(d.Expire(now), d.assign(now)...)
}

// observe records how a slot was used.
func (d *Dispatcher) observe(now time.Time, g grant, o Outcome, ran time.Duration) {
	h := g.host
	switch o {
	case Answered:
		h.failures, h.pausedUntil = 0, time.Time{}
		if ran = max(ran, 0); g.unpaced {
			return
		}
		if d.usual <= 0 {
			d.usual = ran
		}
		d.usual += time.Duration(usualWeight * float64(ran-d.usual))
		h.answered(now, ran)
	case Rejected:
		h.pauseUntil(now.Add(d.pace(now, h)))
		if len(h.starts) >= h.Slots {
			h.strictUntil = now.Add(strictTime)
		}
	case Unreached:
		if h.failures++; h.failures >= minFailures {
			h.pauseUntil(now.Add(failurePause))
		}
	case Lost:
		// One that was given up late shows a slow host as well as its answer would have.
		if !g.unpaced && ran > d.usualRun() {
			h.answered(now, ran)
		}
	case Unused:
	}
}

// Expire ends leases that are over, and refuses the requests that wait in vain.
func (d *Dispatcher) Expire(now time.Time) []Decision {
	for k, g := range d.grants {
		if !now.Before(g.lease) {
			d.drop(k)
		}
	}
	all := d.assign(now)
	for _, q := range append([]queued(nil), d.queue...) {
		if !now.Before(d.latestStart(q)) {
			d.removeQueued(q.Key)
			all = append(all, d.refuse(now, q.Request))
		}
	}
	return all
}

// Waiting returns the number of requests that wait for a slot.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// assign grants free slots to the requests that wait, in their order.
func (d *Dispatcher) assign(now time.Time) []Decision {
	var all []Decision
	passed := 0
	for passed < min(len(d.queue), maxPassed) && d.anyRoom(now) {
		i := d.nextQueued(passed)
		q := d.queue[i]
		h := d.bestHost(now, q)
		if h == nil {
			// Only upstreams that it must not get may have room.
			d.queue[passed], d.queue[i] = d.queue[i], d.queue[passed]
			passed++
			continue
		}
		d.queue = append(d.queue[:i], d.queue[i+1:]...)
		d.floors.granted(q.Request)
		d.take(q.Key, grant{host: h, at: now, lease: d.leaseEnd(now, q.Request), unpaced: q.Stream || len(h.starts) >= h.Slots})
		h.countCold(now)
		all = append(all, Decision{Key: q.Key, Kind: Granted, Upstream: h.ID})
	}
	return all
}

// leaseEnd returns until when a slot counts as taken if it isn't returned.
func (d *Dispatcher) leaseEnd(now time.Time, r Request) time.Time {
	end := now.Add(max(leaseRuns*d.usualRun(), minLease))
	if !r.Deadline.IsZero() && (r.Stream || r.Deadline.Before(end)) {
		// The answer may be on its way when the caller gives up.
		return r.Deadline.Add(d.usualRun())
	}
	return end
}

// Status is the state of a pool's slots.
type Status struct {
	// Slots is the number of slots that may be granted, Taken that of those that are.
	Slots, Taken, Waiting int
}

// Status returns the state of the pool.
func (d *Dispatcher) Status() Status {
	s := Status{Taken: len(d.grants), Waiting: len(d.queue)}
	for _, h := range d.hosts {
		s.Slots += d.slots(h)
	}
	return s
}
