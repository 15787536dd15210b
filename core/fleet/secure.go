package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/health"
)

// A request leaves an upstream that is silent, but may still answer, only once another one
// has been secured for it: left first, it would be lost where none takes it.

// SecureInterval is the time after which a request whose upstream is silent looks for another
// one again, about as long as an upstream is left alone after one failure.
const SecureInterval = 200 * time.Millisecond

// Attempted is what a request has tried that is at an upstream.
type Attempted struct {
	Exchange *answer.Exchange
	// Runs is how many attempts may have run.
	Runs int
	// Tried are the upstreams that were tried, with the one that the request is at.
	Tried []core.UpstreamID
}

// Secure selects an upstream for the next attempt of a request whose current one hasn't
// failed, like Choose, and charges that attempt to the retry budget. It refuses if no other
// upstream takes the request now.
func Secure[P Policy](now time.Time, f *Fleet, policy P, r Request, a Attempted) (Target, *core.Refusal) {
	if !r.mayTryAgain(now, a.Exchange, a.Runs) || !f.permitsRetry(now, r) {
		return Target{}, noUpstream("the request may not be tried again")
	}
	t, refusal := choose(now, f, policy, r, a.Tried, true)
	if refusal != nil || t.Ask != nil {
		return t, refusal
	}
	if !f.TakeRetry(now, r) {
		f.Release(now, t)
		return Target{}, noUpstream("the retry budget is spent")
	}
	return t, nil
}

// SecureHelper reports whether another helper takes a request that is at one. Runs is how many
// attempts may have run.
func (f *Fleet) SecureHelper(now time.Time, r Request, e *answer.Exchange, runs int, d Detours) bool {
	if !r.mayTryAgain(now, e, runs) || !f.permitsRetry(now, r) {
		return false
	}
	_, ok := f.ChooseHelper(now, r, d)
	return ok
}

// Release ends the count of an attempt that Choose or Secure has selected and that isn't made.
func (f *Fleet) Release(now time.Time, t Target) { f.FinishAttempt(now, t, health.Unknown, nil) }
