package main

import (
	"fmt"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/rollout"
)

// OrderSection orders a pool to be moved to a new release at a time. A scenario has one at most.
type OrderSection struct {
	Name string        `ini:"-name"`
	Pool string        `ini:"pool" validate:"required"`
	At   time.Duration `ini:"at" validate:"min=0"`
	// Time is the duration that the order states.
	Time time.Duration `ini:"time" validate:"gt=0"`
	// Failing is the share of the answers of the new release that are failures, Slow by how
	// many times they take longer, From how long after the order that begins.
	Failing float64       `ini:"failing" validate:"min=0,max=1"`
	Slow    float64       `ini:"slow" validate:"min=0"`
	From    time.Duration `ini:"from" validate:"min=0"`
	// Want is the state that the roll-out must end in, Down whether the store is down from the
	// order on, for so long.
	Want string        `ini:"want" validate:"oneof=completed rolled_back"`
	Down time.Duration `ini:"down" validate:"min=0"`
}

const (
	oldRelease = "v1"
	newRelease = "v2"
	// orderDelay is the longest time until a router has read an order or the new entries.
	orderDelay = 500 * time.Millisecond
	// rolloutTick is the time between two steps of a router's roll-outs.
	rolloutTick = 100 * time.Millisecond
	// badAnswers is the number of bad answers from which on the time to roll back counts.
	badAnswers = 50
)

// rolloutLimits are the bounds of all scenarios.
var rolloutLimits = rollout.Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second}

// rolloutRun is the roll-out of a scenario.
type rolloutRun struct {
	OrderSection
	order rollout.Order
	// orderedAt is when the order and the new entries were written; zero before.
	orderedAt time.Time
	statuses  []fleet.RolloutStatus
	// requests counts the requests of the pool, exposed those attempts that went to the new
	// release while it was on trial, or at any time if it is bad.
	requests, exposed int
	moving            bool
	bad               int
	badAt             time.Time
	result            rolloutResult
}

// rolloutResult is what a roll-out has come to.
type rolloutResult struct {
	// State is that of the status in the store at the deadline.
	State string
	// Exposure is the highest number of attempts at the new release on trial, as a fraction
	// of what was permitted at the moment. Exposed is their number.
	Exposure float64
	Exposed  int
	// Late is how long after its 50th bad answer a request was last sent to a bad release,
	// Took the time from the order to the final status.
	Late, Took time.Duration
	// Left is the number of requests at old upstreams when the roll-out was completed.
	Left int
	// Told is the mean number of bytes a second that a router sent in messages about it.
	Told float64
}

// rolloutLimits returns the bounds of the routers; without an order, roll-outs aren't configured.
func (sim *simulation) rolloutLimits() rollout.Limits {
	if len(sim.scenario.Orders) == 0 {
		return rollout.Limits{}
	}
	return rolloutLimits
}

// scheduleOrder schedules the order of the scenario, if it has one.
func (sim *simulation) scheduleOrder() {
	if len(sim.scenario.Orders) == 0 {
		return
	}
	o := sim.scenario.Orders[0]
	sim.rollout = &rolloutRun{OrderSection: o, order: rollout.Order{Pool: core.Pool(o.Pool), Target: newRelease, Duration: o.Time, Offset: 1, Era: 1}}
	for _, u := range sim.pools[o.Pool].upstreams {
		u.entry.Release = oldRelease
	}
	sim.after(sim.scenario.Run.Warmup+o.At, func(now time.Time) {
		sim.rollout.orderedAt = now
		sim.addNewRelease(o)
		for _, r := range sim.routers {
			sim.readOrderSoon(r)
		}
		sim.after(o.Time, func(time.Time) {
			sim.rollout.result.State = sim.rollout.state()
		})
	})
}

// addNewRelease starts as many upstreams of the new release as the pool has.
func (sim *simulation) addNewRelease(o OrderSection) {
	pool := sim.pools[o.Pool]
	for _, old := range pool.upstreams {
		u := &upstream{pool: old.pool, cache: map[core.Digest]bool{}, entry: old.entry}
		u.entry.ID += "-new"
		u.entry.Address = string(u.entry.ID) + ":8000"
		u.entry.Release, u.entry.StartedMS, u.entry.Source = newRelease, sim.now.UnixMilli(), []byte(u.entry.ID)
		sim.upstreams[u.entry.ID] = u
		pool.upstreams = append(pool.upstreams, u)
	}
}

// readOrderSoon lets a router read the order and the new entries, each within orderDelay.
func (sim *simulation) readOrderSoon(r *router) {
	epoch := r.epoch
	soon := func(read func(now time.Time)) {
		sim.after(time.Duration(sim.random.Int64N(int64(orderDelay))), func(now time.Time) {
			if r.epoch == epoch && !r.stopped {
				read(now)
			}
		})
	}
	soon(func(time.Time) { sim.readEntries(r) })
	if sim.rollout.Down == 0 || sim.random.IntN(10) == 0 {
		// Where the store goes down, only some routers have read the order before.
		soon(func(now time.Time) { sim.noteStage(r.fleet.ApplyOrder(now, sim.rollout.order, true)) })
	}
}

// startRollouts lets a router that starts read the order, and carry it on.
func (sim *simulation) startRollouts(r *router) {
	run := sim.rollout
	if run == nil {
		return
	}
	if !run.orderedAt.IsZero() && !run.storeDown(sim.now) {
		r.fleet.ApplyOrders(sim.now, []rollout.Order{run.order}, 2, 1)
	}
	epoch := r.epoch
	var tick func(time.Time)
	tick = func(now time.Time) {
		if r.epoch != epoch {
			return
		}
		e := r.fleet.TickRollouts(now)
		for i := range e.Changes {
			sim.noteStage(&e.Changes[i])
		}
		for _, m := range e.Messages {
			sim.post(r, m.To, m.Message)
		}
		sim.writeStatuses(now, r)
		sim.events.add(now.Add(rolloutTick), tick)
	}
	sim.after(time.Duration(sim.random.Int64N(int64(rolloutTick))), tick)
}

func (run *rolloutRun) storeDown(now time.Time) bool {
	return now.Sub(run.orderedAt) < run.Down
}

// noteStage records that the requests move over.
func (sim *simulation) noteStage(c *fleet.RolloutChange) {
	if c != nil && (c.State.Stage == rollout.Moving || c.State.Stage == rollout.Settling) {
		sim.rollout.moving = true
	}
}

// writeStatuses does what a router has to do at the store.
func (sim *simulation) writeStatuses(now time.Time, r *router) {
	run := sim.rollout
	if r.fleet.StatusWork(now).None() || run.storeDown(now) {
		return
	}
	var newest []fleet.RolloutStatus
	if n := len(run.statuses); n > 0 {
		newest = run.statuses[n-1:]
	}
	r.fleet.ApplyStatuses(now, newest)
	for _, s := range r.fleet.StatusWork(now).Write {
		run.statuses = append(run.statuses, s)
		r.fleet.RecordStatusWritten(now, s)
		if !s.Stage.Final() {
			continue
		}
		run.result.Took = now.Sub(run.orderedAt)
		if s.Stage == rollout.Completed {
			for _, u := range sim.pools[run.Pool].upstreams {
				if u.entry.Release == oldRelease {
					run.result.Left += u.busy()
				}
			}
		}
	}
}

// state returns the state in the store.
func (run *rolloutRun) state() string {
	if n := len(run.statuses); n > 0 {
		if s := run.statuses[n-1].Stage; s.Final() {
			return s.String()
		}
		return "running"
	}
	return "none"
}

// countRequest counts a request of the pool after the order.
func (sim *simulation) countRequest(pool core.Pool) {
	if run := sim.rollout; run != nil && run.order.Pool == pool && !run.orderedAt.IsZero() {
		run.requests++
	}
}

// countExposed counts an attempt that is sent to the new release.
func (sim *simulation) countExposed(now time.Time, u *upstream) {
	run := sim.rollout
	if run == nil || u.entry.Release != newRelease {
		return
	}
	bad := run.Want == rollout.RolledBack.String()
	if !bad && run.moving {
		return
	}
	run.exposed++
	run.result.Exposed = run.exposed
	permitted := rolloutLimits.Share*float64(run.requests) + rolloutLimits.Slack
	run.result.Exposure = max(run.result.Exposure, float64(run.exposed)/permitted)
	if bad && !run.badAt.IsZero() {
		run.result.Late = now.Sub(run.badAt)
	}
}

// spoil returns how an answer of an upstream is: by how many times it takes longer, and whether
// it is a failure.
func (sim *simulation) spoil(now time.Time, u *upstream) (slow float64, o health.Outcome) {
	run := sim.rollout
	if run == nil || u.entry.Release != newRelease || now.Sub(run.orderedAt) < run.From {
		return 1, health.Good
	}
	slow, o = max(run.Slow, 1), health.Good
	if sim.random.Float64() < run.Failing {
		o = health.Failed
	}
	if o == health.Failed || slow > 1 {
		if run.bad++; run.bad == badAnswers {
			run.badAt = now
		}
	}
	return slow, o
}

// String returns the result as key=value pairs.
func (r rolloutResult) String() string {
	return fmt.Sprintf(" rollout=%s exposed=%d exposure=%.2f late=%s took=%s left=%d told=%.0f", r.State, r.Exposed, r.Exposure, r.Late.Round(time.Millisecond), r.Took.Round(time.Millisecond), r.Left, r.Told)
}
