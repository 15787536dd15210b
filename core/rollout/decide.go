package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Progress is what the conductor knows besides the samples.
type Progress struct {
	// Begun is when the order came; if it is zero, State.AgeMS counts.
	Begun time.Time
	// OldRunning is the number of requests of all routers at old upstreams; negative if it
	// isn't known.
	OldRunning int
	// DrainTime is how long the requests at old upstreams may still take.
	DrainTime time.Duration
	// NewUpstreams and OldUpstreams are the pool's upstreams in service by release.
	NewUpstreams, OldUpstreams int
}

const (
	// maxMoveTime and moveFraction, of the duration, bound the time in which the requests move.
	// What goes wrong from then on isn't bounded by Limits.Share any more.
	maxMoveTime  = 2 * time.Second
	moveFraction = 0.1
	// maxMargin and marginFraction bound the time before the deadline at which a roll-out is
	// completed: the store takes up to a second to confirm the status, and may be asked twice.
	maxMargin      = 1500 * time.Millisecond
	marginFraction = 0.1
	// minTrialFraction is the least part of the duration that the trial takes. Streams that run
	// longer than the rest are cut, but a release that turns bad later is still found out while
	// it gets few requests.
	minTrialFraction = 0.6
	// minSettleTime is the least time after the last step until the count of requests at old
	// upstreams shows no more of those sent before: a router's lease of the state, 2 s, is at
	// most this old when it sends a request, and counts follow every 0.5 s.
	minSettleTime = time.Second
)

// moveShares are the shares of the steps in which the requests move. The first ones are small:
// their answers are known only after two more steps.
var moveShares = [...]float64{0.15, 0.35, 0.65}

// moveSteps is the number of steps until all requests have moved.
const moveSteps = len(moveShares) + 1

// schedule is when, after the order, the stages of a roll-out end.
type schedule struct {
	// trial is when the trial ends if there is enough evidence, evidence when it ends while
	// there is a doubt, and last when it ends at the latest.
	trial, evidence, last time.Duration
	// step is the time between two steps.
	step time.Duration
	// complete is when the roll-out is completed at the latest.
	complete time.Duration
}

func newSchedule(duration, drain time.Duration) schedule {
	part := func(f float64) time.Duration { return time.Duration(f * float64(duration)) }
	move := min(maxMoveTime, part(moveFraction))
	s := schedule{step: move / time.Duration(moveSteps), complete: duration - min(maxMargin, part(marginFraction))}
	s.last = s.complete - move
	s.evidence = s.last - min(minSettleTime, part(moveFraction))
	s.trial = min(max(s.complete-move-max(drain, minSettleTime), part(minTrialFraction)), s.evidence)
	return s
}

// Decide returns the next state of a roll-out. It is called some times a second.
func Decide(now time.Time, s State, v Verdict, p Progress) State {
	if s.Stage.Final() {
		return s
	}
	age := time.Duration(s.AgeMS) * time.Millisecond
	if !p.Begun.IsZero() {
		age = max(now.Sub(p.Begun), age)
	}
	s.AgeMS = age.Milliseconds()
	if reason := impossible(age, s, v, p); reason != "" {
		return s.change(RolledBack, 0, reason)
	}
	times := newSchedule(s.Order.Duration, p.DrainTime)
	switch s.Stage {
	case None:
		if p.NewUpstreams > 0 && p.OldUpstreams == 0 {
			return s.change(Completed, 1, "the release is in force")
		}
		return s.change(Trying, 0, "the order is valid")
	case Trying:
		return s.endTrial(age, times, v, p)
	case Moving:
		return s.move(age, times, v)
	default:
		return s.settle(age, times, v, p)
	}
}

// impossible returns why a roll-out can't go on; empty if it can.
func impossible(age time.Duration, s State, v Verdict, p Progress) string {
	switch {
	case s.Order.Invalid != "":
		return s.Order.Invalid
	case s.Order.Duration <= 0:
		return "the duration is not positive"
	case v.Bad:
		return v.Reason
	case s.Stage <= Trying && age >= s.Order.Duration:
		return cmp.Or(noUpstream(p), "the deadline has passed")
	case s.Stage > Trying && p.NewUpstreams == 0 && p.OldUpstreams > 0:
		return noUpstream(p)
	}
	return ""
}

func noUpstream(p Progress) string {
	if p.NewUpstreams > 0 {
		return ""
	}
	return "no upstream has the release"
}

// change returns the state after a change of the stage or the share.
func (s State) change(stage Stage, share float64, reason string) State {
	s.Stage, s.Share, s.Reason = stage, share, reason
	s.Sequence++
	s.ChangedMS = s.AgeMS
	return s
}

// endTrial ends the trial if it is time to. While there is too little evidence it goes on for as
// long as the requests can still be moved over.
func (s State) endTrial(age time.Duration, t schedule, v Verdict, p Progress) State {
	// Without old upstreams there is nothing to compare with and nothing to go back to.
	enough := p.NewUpstreams > 0 && (v.Enough || p.OldUpstreams == 0)
	switch {
	case age >= t.trial && enough:
		return s.change(Moving, moveShares[0], v.Reason)
	// A conductor that has just taken over has few answers until the routers have sent theirs
	// again. What is left for the old upstreams to end their requests is spent on that.
	case age >= t.last, age >= t.evidence && v.Doubt:
		return s.change(RolledBack, 0, cmp.Or(noUpstream(p), "too little evidence: "+v.Reason))
	}
	return s
}

// move takes the next step once the last one is old enough. While the samples leave a doubt, it
// is put off for as long as all steps can still be taken, and then the release is rolled back.
func (s State) move(age time.Duration, t schedule, v Verdict) State {
	changed := time.Duration(s.ChangedMS) * time.Millisecond
	if age-changed < t.step && age < t.complete {
		return s
	}
	next := slices.IndexFunc(moveShares[:], func(share float64) bool { return share > s.Share })
	if next < 0 {
		next = len(moveShares)
	}
	left := time.Duration(moveSteps-next) * t.step
	if v.Doubt {
		if age+left < t.evidence+time.Duration(moveSteps)*t.step {
			return s
		}
		return s.change(RolledBack, 0, v.Reason)
	}
	if next < len(moveShares) {
		return s.change(Moving, moveShares[next], v.Reason)
	}
	return s.change(Settling, 1, v.Reason)
}

// settle completes the roll-out once the old upstreams have no requests, or in time before the
// deadline.
func (s State) settle(age time.Duration, t schedule, v Verdict, p Progress) State {
	// All requests go to the new release: waiting for more answers costs more than a good release
	// that is rolled back.
	if v.Doubt {
		return s.change(RolledBack, 0, v.Reason)
	}
	settled := age - time.Duration(s.ChangedMS)*time.Millisecond
	switch {
	case p.OldRunning == 0 && settled >= minSettleTime, p.OldUpstreams == 0:
		return s.change(Completed, 1, v.Reason+"; the old upstreams have no requests")
	case age >= t.complete:
		return s.change(Completed, 1, fmt.Sprintf("%s; the deadline is near; requests at old upstreams: %d", v.Reason, p.OldRunning))
	}
	return s
}
