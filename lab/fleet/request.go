package main

import (
	"strconv"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/prefix"
)

// scheduleArrivals schedules the groups of requests of a load, a Poisson process.
func (sim *simulation) scheduleArrivals(l *LoadSection) {
	clump := max(l.Clump, 1)
	var arrive func(time.Time)
	arrive = func(now time.Time) {
		dc := sim.random.IntN(sim.scenario.Fleet.DataCentres)
		if l.Tilt > 0 && sim.random.Float64() < l.Tilt {
			dc = 0
		}
		for range clump {
			sim.events.add(now.Add(time.Duration(sim.random.Int64N(int64(clumpSpread)))), func(at time.Time) { sim.arrive(at, l, dc) })
		}
		gap := sim.random.ExpFloat64() * float64(clump) / l.Rate
		sim.events.add(now.Add(time.Duration(gap*float64(time.Second))), arrive)
	}
	sim.after(startDelay, arrive)
}

const (
	// startDelay is when the load begins: the routers have sent their first messages.
	startDelay = time.Second
	// clumpSpread is the time within which the requests of a group arrive.
	clumpSpread = 20 * time.Millisecond
)

// request is a simulated request.
type request struct {
	fleet.Request
	load   *LoadSection
	router *router
	tried  []core.UpstreamID
	target fleet.Target
	// arrivedAt is when the request, or the first one of its caller, came to a router; returned is
	// true if the caller was refused once and has returned.
	arrivedAt time.Time
	returned  bool
}

// arrive sends a request to a router of a data centre, or of the next one with a
// running router.
func (sim *simulation) arrive(now time.Time, l *LoadSection, dc int) {
	r := sim.pickRouter(dc)
	if r == nil {
		sim.figures.refused++
		return
	}
	sim.requests++
	caller := fleet.CallerRequest{ID: strconv.Itoa(sim.requests), Host: l.Name, Path: "/", Content: core.Digest(sim.requests)}
	if l.Prompts > 0 {
		caller.Parts = sim.prompt(l)
	}
	admitted, refusal := r.fleet.Admit(now, caller)
	if refusal != nil {
		sim.figures.refused++
		return
	}
	sim.countRequest(admitted.Pool.Name)
	sim.try(now, &request{Request: admitted, load: l, router: r, arrivedAt: now})
}

// pickRouter returns a running router of a data centre, or of another one; nil if none
// runs.
func (sim *simulation) pickRouter(dc int) *router {
	n := sim.scenario.Fleet.DataCentres
	for i := range n {
		var running []*router
		for _, r := range sim.routers {
			if r.dataCentre == (dc+i)%n && !r.stopped {
				running = append(running, r)
			}
		}
		if len(running) > 0 {
			return running[sim.random.IntN(len(running))]
		}
	}
	return nil
}

// prompt returns the parts of a request's prompt: one that many share and one of its
// own.
func (sim *simulation) prompt(l *LoadSection) []prefix.Part {
	i := sim.random.IntN(l.Prompts)
	since := sim.now.Sub(start) - sim.scenario.Run.Warmup
	if since >= l.HotFrom && since < l.HotFrom+l.HotTime && sim.random.Float64() < l.Hot {
		i = 0
	}
	id := core.Digest(len(l.Name)<<32 + i + 1)
	return []prefix.Part{{ID: id, Tokens: l.Tokens}, {ID: core.Digest(1<<60 + sim.requests), Tokens: 100}}
}

// maxTries bounds the attempts of a request.
const maxTries = 6

// try makes an attempt.
func (sim *simulation) try(now time.Time, r *request) {
	var refusal *core.Refusal
	switch f := r.router.fleet; {
	case r.Pool.Engine == nil:
		r.target, refusal = fleet.Choose(now, f, fleet.FreePlaces{}, r.Request, r.tried)
	case r.Route.Repeatable():
		r.target, refusal = fleet.Choose(now, f, fleet.Affinity{}, r.Request, r.tried)
	default:
		r.target, refusal = fleet.Choose(now, f, fleet.LocalFirst{}, r.Request, r.tried)
	}
	if refusal != nil || len(r.tried) >= maxTries {
		sim.refuse(now, r, refusal)
		return
	}
	if r.target.Ask != nil {
		sim.askQuota(now, r)
		return
	}
	if r.target.SlotAsk != nil {
		sim.askSlot(now, r)
		return
	}
	r.Slot = fleet.SlotAnswer{}
	sim.returnSlots(now, r.router)
	u := sim.upstreams[r.target.ID]
	sim.countExposed(now, u)
	there := sim.delay(r.router.member.DataCentre, u.entry.DataCentre)
	r.router.fleet.RecordConnect(now, r.target, 2*there)
	if sim.measuring() {
		if r.router.fleet.Crosses(r.target) != "" {
			sim.figures.crossed++
		}
		sim.figures.underestimated = append(sim.figures.underestimated, u.busy()-r.target.Load)
	}
	sent := r.router.out.transfer(now, r.load.Body, sim.scenario.Fleet.Link)
	sim.events.add(sent.Add(there), func(at time.Time) { sim.reach(at, r, u, there) })
}

// reach lets an upstream accept or decline an attempt.
func (sim *simulation) reach(now time.Time, r *request, u *upstream, back time.Duration) {
	pool := sim.pools[u.pool.Name]
	sim.countLimited(now, u)
	if sim.measuring() {
		sim.figures.attempts++
		pool.window.add(now, pool.crowded(u))
	}
	accepted := u.accept(now, func(started time.Time) {
		if sim.measuring() && started.Sub(now) > r.load.Time {
			sim.figures.waited++
		}
		sim.execute(started, r, u, back)
	})
	if accepted {
		return
	}
	if sim.measuring() {
		sim.figures.declined++
	}
	sim.respond(now.Add(back), r, func(at time.Time) {
		sim.finish(at, r, health.Shed)
		r.tried = append(r.tried, u.entry.ID)
		sim.try(at, r)
	})
}

// execute runs a request at an upstream: it reads the prompt, sends the first event and
// ends.
func (sim *simulation) execute(now time.Time, r *request, u *upstream, back time.Duration) {
	var reading time.Duration
	if u.pool.Prefill > 0 {
		known := sim.anyHas(u.pool.Name, r.SharedParts)
		missing := u.missing(r.SharedParts)
		reading = time.Duration(missing+r.OwnTokens) * time.Millisecond / time.Duration(u.pool.Prefill)
		sim.countRead(r, missing, known)
	}
	report := u.report()
	begins := u.endOf(now, reading+r.load.First)
	u.statePace(begins, report)
	sim.respond(begins.Add(back), r, func(at time.Time) {
		if r.router.stopped {
			return
		}
		r.router.fleet.MarkSeen(at, r.target)
		if u.pool.Prefill > 0 {
			r.target.Rollout.MarkFirstByte(at)
		}
		sim.answerLimit(at, r, u)
		r.router.fleet.RecordPrefill(at, r.Request, r.target)
		if r.Pool.Engine != nil {
			sim.countAnswer(at, r)
		}
		if report != nil {
			sim.tellPaces(at, r.router, r.router.fleet.RecordPace(at, r.target, *report))
			if full := r.router.fleet.RecordLoad(at, r.target, *report); full != nil {
				for _, e := range r.router.fleet.Spread(at, *full) {
					sim.post(r.router, e.To, e.Message)
				}
			}
		}
	})
	slow, outcome := sim.spoil(now, u)
	ends := u.endOf(begins, time.Duration(slow*float64(u.runTime(sim.random, r.load, sim.slowed(now, u)))))
	sim.events.add(ends, func(at time.Time) {
		u.finish(at)
		sim.respond(at.Add(back), r, func(at time.Time) { sim.answered(at, r, outcome) })
	})
}

// responseBytes is the size of what an upstream sends at a time.
const responseBytes = 800

// respond lets a request's router receive, over its link, what has reached that at a time.
func (sim *simulation) respond(reached time.Time, r *request, receive func(now time.Time)) {
	sim.events.add(reached, func(now time.Time) {
		sim.events.add(r.router.in.transfer(now, responseBytes, sim.scenario.Fleet.Link), receive)
	})
}

// finish tells the router the outcome of an attempt.
func (sim *simulation) finish(now time.Time, r *request, o health.Outcome) {
	if !r.router.stopped {
		r.router.fleet.FinishAttempt(now, r.target, o, nil)
		sim.returnSlots(now, r.router)
	}
	if !r.router.stopped && o == health.Good {
		sim.tellPaces(now, r.router, r.router.fleet.RecordRun(now, r.target, nil))
	}
}

// answered ends an attempt that has its whole answer.
func (sim *simulation) answered(now time.Time, r *request, o health.Outcome) {
	if r.Pool.Engine == nil {
		sim.countAnswer(now, r)
		r.target.Rollout.MarkFirstByte(now)
	}
	sim.finish(now, r, o)
	if o == health.Failed {
		r.tried = append(r.tried, r.target.ID)
		sim.try(now, r)
	}
}

// patience is the part of the time that a caller has left which it waits at most before it returns.
const patience = 1.0 / 3

// refuse refuses a request. Its caller returns once, if it is told to return soon.
func (sim *simulation) refuse(now time.Time, r *request, refusal *core.Refusal) {
	left := r.Deadline.Sub(now)
	wait := r.router.fleet.RetryAfter()
	if refusal != nil && refusal.RetryAfter > 0 {
		wait = refusal.RetryAfter
	}
	if r.returned || r.load.Objective <= 0 || wait > time.Duration(patience*float64(left)) {
		sim.figures.refused++
		return
	}
	if sim.measuring() {
		sim.figures.sentBack++
	}
	sim.events.add(now.Add(wait), func(at time.Time) {
		to := sim.pickRouter(r.router.dataCentre)
		if to == nil {
			sim.figures.refused++
			return
		}
		sim.requests++
		admitted, refused := to.fleet.Admit(at, fleet.CallerRequest{ID: strconv.Itoa(sim.requests), Host: r.load.Name, Path: "/", Content: r.Content})
		if refused != nil {
			sim.figures.refused++
			return
		}
		sim.try(at, &request{Request: admitted, load: r.load, router: to, returned: true, arrivedAt: r.arrivedAt})
	})
}

// anyHas reports whether an engine of a pool has all of the parts in its cache.
func (sim *simulation) anyHas(pool string, parts []prefix.Part) bool {
	for _, u := range sim.pools[pool].upstreams {
		has := true
		for _, p := range parts {
			has = has && u.cache[p.ID]
		}
		if has {
			return true
		}
	}
	return false
}

// countRead counts the tokens of a prompt that are read, and those of them that the
// target neither has nor fetches though another engine has them.
func (sim *simulation) countRead(r *request, missing int, known bool) {
	if !sim.measuring() {
		return
	}
	for _, p := range r.SharedParts {
		sim.figures.promptTokens += p.Tokens
	}
	if known && r.target.FetchFrom == "" {
		sim.figures.rereadTokens += missing
	} else if known {
		sim.figures.fetchedTokens += missing
	}
}
