package fleet

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/table"
)

const (
	// issueInterval and endedInterval are the times between two messages with the state of a
	// roll-out, while it runs and after it has ended.
	issueInterval = 500 * time.Millisecond
	endedInterval = 2 * time.Second
	// endedRepeat is for how long the final state is repeated once it is in the store: routers
	// that start later read it there.
	endedRepeat = time.Minute
	// conductorTimeout is how long a conductor may be silent before the next router takes its
	// place, while the roll-out runs and after it has ended.
	conductorTimeout      = rolloutLease
	endedConductorTimeout = endedInterval + rolloutLease
	// listenTime is how long a router that may have missed states listens before it conducts:
	// the conductor repeats its state twice within that time.
	listenTime = 2*issueInterval + 200*time.Millisecond
	// beginGrace is how long a conductor that hasn't seen the beginning of a roll-out waits for
	// the state of another one.
	beginGrace = rolloutLease
	// tellDelay is how long a router that has read an order waits to hear of it from the
	// conductor before it tells that of the order: the store may refuse the conductor.
	tellDelay = 200 * time.Millisecond
	// decideInterval is the time between two decisions: each compares thousands of samples.
	decideInterval = 200 * time.Millisecond
	// takeoverWait is how long a new conductor of a roll-out that has begun repeats its state
	// before it decides: the routers send it their earlier samples within that time.
	takeoverWait = 2 * sampleInterval
	// unknownGrace is how long a conductor waits for the entries of a service that it doesn't
	// know.
	unknownGrace = time.Second
	// drainMultiple is by how many times the mean remaining run time the requests at old
	// upstreams may still take; maxDrainFraction bounds it as a fraction of the duration.
	drainMultiple    = 3
	maxDrainFraction = 0.25
)

// conducting is what a router knows as the conductor of a roll-out, or of who that is.
type conducting struct {
	// trial holds the samples of all routers.
	trial   *table.Cell[rollout.Trial]
	senders map[core.RouterID]sender
	verdict rollout.Verdict
	// conductor is the one that this router expects, since expectedAt; heardAt is when each
	// was last heard, and silent holds those that should have been heard and weren't.
	conductor  core.RouterID
	expectedAt time.Time
	heardAt    map[core.RouterID]time.Time
	silent     map[core.RouterID]bool
	// tickedAt is when the router last checked the roll-out, decidedAt when it last decided on
	// it, listenUntil until when it doesn't conduct.
	tickedAt, decidedAt, listenUntil time.Time
	// heard is the state that the conductor was last heard of, toldAt when this router last told
	// the conductor of its own.
	heard  rollout.State
	toldAt time.Time
	// sentAt is when this router last issued the state. due is true if it is to tell it at
	// once.
	sentAt time.Time
	due    bool
}

// RolloutEffects are the changes of roll-outs, and the messages that they need.
type RolloutEffects struct {
	Changes  []RolloutChange
	Messages []Envelope
}

// TickRollouts carries the roll-outs on. It is called some times a second, and returns at once
// if there is none.
func (f *Fleet) TickRollouts(now time.Time) RolloutEffects {
	var e RolloutEffects
	if !f.rolloutsConfigured() || !f.anyRollout(now) {
		return e
	}
	routers, known, _ := f.reachableRouters(now)
	k := ticking{now: now, routers: routers, members: f.routerIDs(now), majority: 2*len(routers) >= known}
	verdicts := map[core.Pool]rollout.Verdict{}
	for pool, d := range f.dueDecisions(k) {
		// Not beside the locks that requests wait for: a verdict takes some milliseconds.
		d.trial.Do(table.Hold{}, func(_ table.Hold, t *rollout.Trial) {
			t.Add(now, f.settings.ID, d.samples)
			verdicts[pool] = t.Verdict(now)
		})
	}
	var spread []Message
	f.eachRollout(k, func(p *poolRollout, k ticking) {
		if v, ok := verdicts[k.pool]; ok && f.conducts(p, k) {
			if c := f.decide(p, k, v); c != nil {
				e.Changes = append(e.Changes, *c)
			}
		}
		if m := f.issue(p, k); m != nil {
			spread = append(spread, Message{RolloutState: m})
		}
		if m := f.tell(p, k); m != nil {
			e.Messages = append(e.Messages, Envelope{To: p.conduct.conductor, Message: Message{SentMS: f.uptimeMS(now), RolloutState: m}})
		}
		if m := f.report(p, k); m != nil {
			e.Messages = append(e.Messages, Envelope{To: p.conduct.conductor, Message: Message{SentMS: f.uptimeMS(now), RolloutSamples: m}})
		}
	})
	for _, m := range spread {
		e.Messages = append(e.Messages, f.Spread(now, m)...)
	}
	return e
}

// eachRollout calls fn with each roll-out, in the order of the pools, within the locks.
func (f *Fleet) eachRollout(k ticking, fn func(*poolRollout, ticking)) {
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.rollouts.Do(held, func(held table.Hold, t *rollouts) {
			for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
				p := t.byPool[pool]
				if !p.ordered {
					continue
				}
				f.states.Do(held, func(_ table.Hold, st *states) {
					k.pool, k.u, k.st = pool, u, st
					fn(p, k)
				})
			}
		})
	})
}

// releaseInterval is the time between two updates of the releases that pools have.
const releaseInterval = time.Second

// anyRollout updates the releases of the pools, and reports whether there is an order.
func (f *Fleet) anyRollout(now time.Time) bool {
	ordered := false
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.rollouts.Do(held, func(_ table.Hold, t *rollouts) {
			due := now.Sub(t.updatedAt) >= releaseInterval
			if due {
				t.updatedAt = now
			}
			for pool, p := range t.byPool {
				if due {
					p.forgetReleases(now, presentReleases(u, pool))
				}
				ordered = ordered || p.ordered
			}
		})
	})
	return ordered
}

// ticking is what the step of a roll-out is made of.
type ticking struct {
	now  time.Time
	pool core.Pool
	u    *upstreams
	st   *states
	// routers are those that can be reached, with this one, and members all that may exist.
	routers, members []core.RouterID
	// majority is true if those are at least half of them.
	majority bool
}

// decision is what a conductor needs for its next decision.
type decision struct {
	trial   *table.Cell[rollout.Trial]
	samples []rollout.Sample
}

// dueDecisions chooses the conductor of each roll-out, and returns what is needed for those that
// this router is to decide on now.
func (f *Fleet) dueDecisions(k ticking) map[core.Pool]decision {
	due := map[core.Pool]decision{}
	f.eachRollout(k, func(p *poolRollout, k ticking) {
		c := &p.conduct
		if k.now.Sub(c.tickedAt) > rolloutLease && !c.tickedAt.IsZero() {
			// The process was frozen: others may have taken over.
			c.listenUntil = k.now.Add(listenTime)
		}
		c.tickedAt = k.now
		c.expect(k.now, f.settings.ID, p.state.Order, k.routers, p.state.Stage.Final())
		if p.state.Stage.Final() || !f.conducts(p, k) || k.now.Sub(c.decidedAt) < decideInterval {
			return
		}
		if p.state.Stage != rollout.None && k.now.Sub(c.expectedAt) < takeoverWait {
			return
		}
		c.decidedAt = k.now
		_, samples := p.collected.take(k.now, f.settings.ID)
		due[k.pool] = decision{trial: c.trial, samples: slices.Clone(samples)}
	})
	return due
}

// decide decides on the next state. It returns the change of the stage; nil if there is none.
func (f *Fleet) decide(p *poolRollout, k ticking, v rollout.Verdict) *RolloutChange {
	if p.state.Stage.Final() {
		return nil
	}
	c := &p.conduct
	c.verdict = v
	s := p.state
	s.AgeMS = k.now.Sub(p.begunAt).Milliseconds()
	next, decided := f.decideAtOnce(p, k, s)
	if !decided {
		next = rollout.Decide(k.now, s, v, f.progress(p, k))
	}
	c.due = c.due || next.Sequence != p.state.Sequence
	change := p.set(k.now, next)
	if change != nil {
		change.Verdict = v
	}
	return change
}

// decideAtOnce returns the final state of an order that needs no trial.
func (f *Fleet) decideAtOnce(p *poolRollout, k ticking, s rollout.State) (rollout.State, bool) {
	if s.Stage != rollout.None {
		return s, false
	}
	releases := f.releasesOf(k.now, k.u, k.pool, p)
	switch {
	case s.Order.Invalid != "":
		s.Stage, s.Reason = rollout.RolledBack, s.Order.Invalid
	case f.unknownService(k, releases):
		if k.now.Sub(p.knownAt) < unknownGrace {
			return s, true
		}
		s.Stage, s.Reason = rollout.RolledBack, "the service is unknown"
	case releases.others == 0 && len(releases.target) > 0:
		s.Stage, s.Reason = rollout.Completed, "the release is in force"
	default:
		return s, false
	}
	s.Sequence++
	s.ChangedMS = s.AgeMS
	return s, true
}

// unknownService reports whether neither the configuration nor an upstream names the pool.
func (f *Fleet) unknownService(k ticking, releases poolReleases) bool {
	if len(releases.startedMS) > 0 {
		return false
	}
	c := f.Catalog()
	if c == nil {
		return false
	}
	_, known := c.Pools[k.pool]
	return !known && len(presentReleases(k.u, k.pool)) == 0
}

// progress returns what the conductor knows besides the samples.
func (f *Fleet) progress(p *poolRollout, k ticking) rollout.Progress {
	releases := f.releasesOf(k.now, k.u, k.pool, p)
	drain := drainMultiple * k.st.runTime(k.pool).Remaining()
	return rollout.Progress{
		Begun: p.begunAt, OldRunning: p.conduct.oldRunning(k, f.settings.ID, oldRunning(k.u, k.st, p.state.Order)),
		DrainTime:    min(drain, time.Duration(maxDrainFraction*float64(p.state.Order.Duration))),
		NewUpstreams: len(releases.target), OldUpstreams: releases.others,
	}
}

// oldRunning returns the number of requests of all routers at old upstreams; negative if not
// all of them have said that they keep to the stage.
func (c *conducting) oldRunning(k ticking, self core.RouterID, own int) int {
	running := own
	for _, id := range k.members {
		if id == self {
			continue
		}
		s := c.senders[id]
		if s.stage < rollout.Settling {
			return -1
		}
		running += s.running
	}
	return running
}
