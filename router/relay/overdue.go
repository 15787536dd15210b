package relay

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/httpclient"
)

// detourSlack is how many times longer than an upstream another router may take, which may
// have to try a second one.
const detourSlack = 2

// waitUntil returns the wait for the next bytes: until the deadline of an upstream, or a later
// one at another router. The request stays after that while no other one takes it.
func (a *attempt) waitUntil(now, deadline time.Time) httpclient.Wait {
	if a.helper != "" {
		deadline = now.Add(detourSlack * deadline.Sub(now))
	}
	if a.Deadline.Before(deadline) {
		deadline = a.Deadline
	}
	return httpclient.Wait{Until: deadline, Overdue: a.overdue}
}

// overdue decides on an attempt of which nothing has come within its wait. It returns until
// when to wait on, or zero if the request has another place to go or no time left.
func (a *attempt) overdue(now time.Time) time.Time {
	a.revokeBeginning(now)
	if a.ctx.Err() != nil || !now.Before(a.Deadline) || a.secureNext(now) {
		return time.Time{}
	}
	if !a.kept {
		a.kept = true
		a.forwarder.Metrics.Kept(a.Pool.Name)
		a.forwarder.Log.Info("attempt_kept", zap.String("request", a.ID), zap.Int("attempt", a.id), zap.String("upstream", string(a.target.ID)),
			zap.Int("events", a.events), zap.Duration("left", a.Deadline.Sub(now)))
	}
	if next := now.Add(fleet.SecureInterval); next.Before(a.Deadline) {
		return next
	}
	return a.Deadline
}

// secureNext secures the place of the next attempt.
func (a *attempt) secureNext(now time.Time) bool {
	f := a.forwarder
	if a.helper != "" {
		return f.Fleet.SecureHelper(now, a.Request, &a.exchange, a.runsAtHelper(a.Runs), a.detours)
	}
	target, refusal := a.chooseTarget(now, a.target.ID)
	switch {
	case refusal != nil:
		return false
	case target.Ask != nil:
		// The next look finds what is granted.
		a.Asks++
		if f.Send != nil {
			f.Send(*target.Ask)
		}
		return false
	}
	a.next = &target
	return true
}

// takeNext returns the target that was secured for the next attempt, if there is one.
func (s *callState) takeNext() (fleet.Target, bool) {
	if s.next == nil {
		return fleet.Target{}, false
	}
	target := *s.next
	s.next = nil
	return target, true
}

// releaseNext gives up what was secured for an attempt that isn't made.
func (s *callState) releaseNext() {
	if target, ok := s.takeNext(); ok {
		s.forwarder.Fleet.Release(time.Now(), target)
	}
}
