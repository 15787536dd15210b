package quota

import (
	"time"

	"camphorpulley.org/core/ratelimit"
)

// Purse holds the requests that one router may send to a limited upstream. The zero value
// is empty.
type Purse struct {
	// expiries holds when the requests that were granted expire, in ascending order.
	expiries []time.Time
	// deniedUntil is until when it is in vain to ask again, for preferred requests and
	// for others.
	deniedUntil [2]time.Time
	// uses holds the times at which requests were wanted.
	uses ratelimit.Window
}

const (
	// Lease is how long a granted request may be used.
	Lease = 300 * time.Millisecond
	// useWindow is the time whose demand is asked for in advance.
	useWindow = 100 * time.Millisecond
	// SilentRetry is the time after which a router asks again if the allotter didn't
	// respond.
	SilentRetry = 200 * time.Millisecond
)

// Grant adds requests that may be sent from now on.
func (p *Purse) Grant(now time.Time, count int) {
	for range count {
		p.expiries = append(p.expiries, now.Add(Lease))
	}
}

// Deny records that no request is granted for a time.
func (p *Purse) Deny(now time.Time, preferred bool, d time.Duration) {
	until := now.Add(d)
	p.deniedUntil[index(false)] = later(p.deniedUntil[index(false)], until)
	if preferred {
		p.deniedUntil[index(true)] = later(p.deniedUntil[index(true)], until)
	}
}

// Use takes one request, if the purse holds one.
func (p *Purse) Use(now time.Time) bool {
	p.expire(now)
	if len(p.expiries) == 0 {
		return false
	}
	p.expiries = p.expiries[1:]
	return true
}

// Holds reports whether the purse holds a request.
func (p *Purse) Holds(now time.Time) bool {
	p.expire(now)
	return len(p.expiries) > 0
}

// DeniedFor returns for how long it is in vain to ask; zero if it isn't.
func (p *Purse) DeniedFor(now time.Time, preferred bool) time.Duration {
	return max(p.deniedUntil[index(preferred)].Sub(now), 0)
}

// Demand records that a request is wanted, and returns how many to ask for.
func (p *Purse) Demand(now time.Time) int {
	p.uses.Add(now)
	return p.uses.Count(now, useWindow)
}

func (p *Purse) expire(now time.Time) {
	for len(p.expiries) > 0 && now.After(p.expiries[0]) {
		p.expiries = p.expiries[1:]
	}
}

// index returns the index of deniedUntil.
func index(preferred bool) int {
	if preferred {
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
