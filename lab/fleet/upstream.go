package main

import (
	"math/rand/v2"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
)

// upstream is a simulated engine or application.
type upstream struct {
	entry   roster.Entry
	pool    *PoolSection
	running int
	waiting []func(now time.Time)
	cache   map[core.Digest]bool
	// limit is the limit that the upstream names from a time on; nil if it names none.
	limit *limit
	// spells are the times at which the host is slow.
	spells []spell
}

// busy returns the number of requests that run or wait.
func (u *upstream) busy() int { return u.running + len(u.waiting) }

// report returns the load that the upstream states; nil if it states none.
func (u *upstream) report() *load.Report {
	if !u.pool.Tells {
		return nil
	}
	return &load.Report{Running: u.running, Waiting: len(u.waiting), Slots: u.pool.Slots}
}

// accept runs a request now or once a slot is free. It returns false if the upstream
// declines the request.
func (u *upstream) accept(now time.Time, run func(now time.Time)) bool {
	switch {
	case u.running < u.pool.Slots:
		u.running++
		run(now)
	case len(u.waiting) < u.pool.Queue:
		u.waiting = append(u.waiting, run)
	default:
		return false
	}
	return true
}

// finish ends a running request and begins the first one that waits.
func (u *upstream) finish(now time.Time) {
	if len(u.waiting) == 0 {
		u.running--
		return
	}
	next := u.waiting[0]
	u.waiting = u.waiting[1:]
	next(now)
}

// missing returns how many tokens of parts the cache lacks, and adds them.
func (u *upstream) missing(parts []prefix.Part) int {
	tokens := 0
	for _, p := range parts {
		if !u.cache[p.ID] {
			u.cache[p.ID] = true
			tokens += p.Tokens
		}
	}
	return tokens
}

// runTime returns how long a request runs: longer with more requests beside it, and by a factor
// on a slow host.
func (u *upstream) runTime(random *rand.Rand, l *LoadSection, factor float64) time.Duration {
	slowdown := factor * (1 + u.pool.Slow*float64(u.running-1))
	if l.Steady {
		return time.Duration(slowdown * (1 + steadySpread*(2*random.Float64()-1)) * float64(l.Time))
	}
	return time.Duration(slowdown * random.ExpFloat64() * float64(l.Time))
}

// steadySpread is the part of their mean by which steady run times differ from it.
const steadySpread = 0.2

// slowed returns by how many times requests last longer at an upstream: the upstreams of a pool
// are slow by turns.
func (sim *simulation) slowed(now time.Time, u *upstream) float64 {
	p := sim.pools[u.pool.Name]
	if p.Slowed <= 0 || p.SlowedFor <= 0 {
		return 1
	}
	turn := int(now.Sub(start)/p.SlowedFor) % len(p.upstreams)
	if p.upstreams[turn] == u {
		return p.Slowed
	}
	return 1
}
