package main

import (
	"math/rand/v2"
	"time"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/load"
)

// usualPace is the pace of a usual host in hundredths.
const usualPace = 100

// spell is a time for which a host is slow.
type spell struct{ from, until time.Time }

// spells returns the times until end at which the host of an upstream of a pool is slow. They
// vary by half of their mean.
func (p PoolSection) spells(random *rand.Rand, end time.Time) []spell {
	if p.Uneven <= 0 {
		return nil
	}
	var all []spell
	gap := float64(p.Spell) * (1 - p.Uneven) / p.Uneven
	for at := start; at.Before(end); {
		from := at.Add(time.Duration(random.ExpFloat64() * gap))
		at = from.Add(p.Spell/2 + time.Duration(random.Int64N(int64(p.Spell))))
		all = append(all, spell{from, at})
	}
	return all
}

// paceAt returns how many times longer than usual work takes at a time, and until when.
func (u *upstream) paceAt(now time.Time) (factor float64, until time.Time) {
	for _, s := range u.spells {
		switch {
		case now.Before(s.from):
			return 1, s.from
		case now.Before(s.until):
			return u.pool.Slowness, s.until
		}
	}
	return 1, now.Add(time.Hour)
}

// endOf returns when work that takes a time at a usual host ends that begins now.
func (u *upstream) endOf(now time.Time, work time.Duration) time.Time {
	for {
		factor, until := u.paceAt(now)
		end := now.Add(time.Duration(factor * float64(work)))
		if !end.After(until) {
			return end
		}
		work -= time.Duration(float64(until.Sub(now)) / factor)
		now = until
	}
}

// statePace adds the pace of the host at a time to a report, if the upstream states it.
func (u *upstream) statePace(now time.Time, r *load.Report) {
	if factor, _ := u.paceAt(now); u.pool.States && r != nil {
		r.Pace = int(usualPace * factor)
	}
}

// tellPaces lets a router tell the others what it has heard of hosts, if gathering has begun.
func (sim *simulation) tellPaces(now time.Time, r *router, gathering bool) {
	if !gathering {
		return
	}
	epoch := r.epoch
	sim.events.add(now.Add(fleet.PaceBatch), func(now time.Time) {
		if r.epoch != epoch {
			return
		}
		if m := r.fleet.TakeHostPaces(now); m != nil {
			for _, e := range r.fleet.Spread(now, *m) {
				sim.post(r, e.To, e.Message)
			}
		}
	})
}

// countAnswer counts an answer to a request, which is late if the objective is over.
func (sim *simulation) countAnswer(now time.Time, r *request) {
	if !sim.measuring() {
		return
	}
	sim.figures.answers++
	if now.Sub(r.arrivedAt) > r.load.objective() {
		sim.figures.late++
	}
}
