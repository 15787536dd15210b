package main

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/statement"
)

const (
	// limitGrace is how long after a limit was first named requests don't count.
	limitGrace = 3 * time.Second
	// limitWindow is the span within which they are counted. Permitted are limitFactor
	// times the limit, plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// quotaTimeout is how long a request waits for a router that grants quota.
	quotaTimeout = 60 * time.Millisecond
)

// limit is the limit that a simulated upstream names, and what it got since.
type limit struct {
	perSecond float64
	arrivals  []time.Time
	// counted is the number of requests that count, highest the largest within
	// limitWindow.
	counted, highest int
}

// namesLimit returns the limit that an upstream names at a time; nil if it names none.
func (sim *simulation) namesLimit(now time.Time, u *upstream) *limit {
	if u.limit == nil || now.Sub(start) < sim.scenario.Run.Warmup+u.pool.LimitFrom {
		return nil
	}
	return u.limit
}

// countLimited counts a request that has reached an upstream towards the limit that it
// names, whether or not its router has heard of the limit.
func (sim *simulation) countLimited(now time.Time, u *upstream) {
	l := sim.namesLimit(now, u)
	if l == nil || now.Sub(start) < sim.scenario.Run.Warmup+u.pool.LimitFrom+limitGrace {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.counted++
	l.highest = max(l.highest, len(l.arrivals))
}

// answerLimit lets the router of an attempt hear what its upstream says.
func (sim *simulation) answerLimit(now time.Time, r *request, u *upstream) {
	var says statement.Answer
	if l := sim.namesLimit(now, u); l != nil {
		says.Limit = statement.NewLimit(l.perSecond)
	}
	if e := r.router.fleet.RecordStatement(now, r.target, says); e.Notify != nil {
		for _, envelope := range r.router.fleet.Spread(now, *e.Notify) {
			sim.post(r.router, envelope.To, envelope.Message)
		}
	}
}

// askQuota asks for quota of a limited upstream, and tries the request again when a
// response has come, or none within quotaTimeout.
func (sim *simulation) askQuota(now time.Time, r *request) {
	ask := r.target.Ask
	r.Asks++
	waiting, id := true, r.target.ID
	r.router.waiting[id] = append(r.router.waiting[id], func(at time.Time) {
		if waiting {
			waiting = false
			sim.try(at, r)
		}
	})
	sim.post(r.router, ask.To, ask.Message)
	sim.events.add(now.Add(quotaTimeout), func(at time.Time) {
		if waiting && !r.router.stopped {
			waiting = false
			sim.figures.silent++
			r.router.fleet.RecordQuotaSilence(at, id, ask.To)
			sim.try(at, r)
		}
	})
}

// wakeWaiting tries the requests again that wait for quota of an upstream.
func (r *router) wakeWaiting(now time.Time, id core.UpstreamID) {
	waiting := r.waiting[id]
	delete(r.waiting, id)
	for _, try := range waiting {
		try(now)
	}
}

// limitFigures returns the highest number of requests that a limited upstream got within
// limitWindow, as a fraction of what is permitted, and what all of them got together, as a
// fraction of their limits.
func (sim *simulation) limitFigures() (excess, used float64) {
	got, named := 0.0, 0.0
	for _, p := range sim.pools {
		seconds := (sim.scenario.Run.Time - p.LimitFrom - limitGrace).Seconds()
		for _, u := range p.upstreams {
			if u.limit == nil {
				continue
			}
			permitted := limitFactor*u.limit.perSecond*limitWindow.Seconds() + limitSlack
			excess = max(excess, float64(u.limit.highest)/permitted)
			got += float64(u.limit.counted)
			named += u.limit.perSecond * seconds
		}
	}
	return excess, got / max(named, 1)
}
