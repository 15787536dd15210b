// Package health judges upstreams by the outcomes of requests.
package health

import "time"

// Outcome is how an attempt ended.
type Outcome int

const (
	// Good is a complete response that isn't a failure.
	Good Outcome = iota
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that a connection broke with a request on it.
	Broken
	// Misdirected means that another upstream has the address.
	Misdirected
	// TimedOut means that a time-out passed without data from the upstream.
	TimedOut
	// Slow means that a time-out passed while the upstream answered other requests.
	Slow
	// Failed means that the upstream responded with a failure.
	Failed
	// Shed means that the upstream responded that it didn't run the request.
	Shed
	// Unknown gives no information on the upstream: the caller disconnected, for
	// example.
	Unknown
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"good", "unreachable", "broken", "misdirected", "silent", "slow", "failed", "shed", "unknown"}[o]
}

// ContactFailure reports whether contact to the upstream failed.
func (o Outcome) ContactFailure() bool { return o == Unreachable || o == Broken || o == TimedOut }

const (
	// baseEjection is how long an upstream is ejected after one contact failure,
	// doubled for each further one: a process needs longer to restart.
	baseEjection = 250 * time.Millisecond
	// maxEjection bounds the ejection time, so that a restarted upstream is found
	// within the time that its entry needs to reappear.
	maxEjection = 2 * time.Second
	// rateWeight is the weight of the newest outcome in the failure rate: about the
	// last eight outcomes count.
	rateWeight = 0.125
	// rateHalfLife is how long it takes a failure rate to halve without outcomes, so
	// that an avoided upstream is tried again.
	rateHalfLife = 2 * time.Second
)

// Record is one router's view of an upstream's health. The zero value is an upstream
// without known failures.
type Record struct {
	// ContactFailures counts contact failures and misdirected requests since the last
	// response.
	ContactFailures int
	// EjectedUntil is the end of the ejection.
	EjectedUntil time.Time
	// Rate is the fraction of failures among recent outcomes, as of RateTime.
	Rate     float64
	RateTime time.Time
}

// Observe records the outcome of an attempt, and reports whether it has started an
// ejection. Contact failures and misdirected requests do, unless the upstream is
// ejected already.
func (r *Record) Observe(now time.Time, o Outcome) bool {
	bad := 0.0
	switch o {
	case Unknown:
		return false
	case Good:
		r.ContactFailures, r.EjectedUntil = 0, time.Time{}
	case Shed, Slow:
		// A busy upstream isn't broken.
		bad = 0.5
	default:
		bad = 1
	}
	r.Rate = r.FailureRate(now)*(1-rateWeight) + bad*rateWeight
	r.RateTime = now
	if o == Failed || o == Shed || o == Slow {
		r.ContactFailures = 0
		return false
	}
	if o == Good || now.Before(r.EjectedUntil) {
		return false
	}
	r.ContactFailures++
	r.EjectedUntil = now.Add(ejectionTime(r.ContactFailures))
	return true
}

// ejectionTime returns how long an upstream is ejected after a number of contact
// failures.
func ejectionTime(failures int) time.Duration {
	return min(baseEjection<<min(failures-1, 8), maxEjection)
}

// maxRemoteOutcomes bounds how many outcomes of another router are counted at once:
// with more, the rate is that of the other router in any case.
const maxRemoteOutcomes = 32

// ObserveRemote records the outcomes of attempts by another router.
func (r *Record) ObserveRemote(now time.Time, successes, failures int) {
	failed := float64(failures) / float64(max(successes+failures, 1))
	rate := r.FailureRate(now)
	for range min(successes+failures, maxRemoteOutcomes) {
		rate = rate*(1-rateWeight) + failed*rateWeight
	}
	r.Rate, r.RateTime = rate, now
}

// EjectFor records that another router has ejected the upstream for the given time,
// of which at most maxEjection counts.
func (r *Record) EjectFor(now time.Time, d time.Duration) {
	if until := now.Add(min(d, maxEjection)); until.After(r.EjectedUntil) {
		r.EjectedUntil = until
		r.ContactFailures = max(r.ContactFailures, 1)
	}
}

// FailureRate returns the failure rate at the time now, from 0 to 1.
func (r *Record) FailureRate(now time.Time) float64 {
	rate := r.Rate
	for age := now.Sub(r.RateTime); age >= rateHalfLife && rate > 0.01; age -= rateHalfLife {
		rate /= 2
	}
	return rate
}

// Ejected reports whether the upstream gets no requests.
func (r *Record) Ejected(now time.Time) bool { return now.Before(r.EjectedUntil) }

// degradedPeriod is how long after an ejection an upstream that hasn't responded gets
// one request at a time.
const degradedPeriod = 5 * time.Second

// Degraded reports whether contact failed, no response has come since, and
// degradedPeriod after the ejection is not over.
func (r *Record) Degraded(now time.Time) bool {
	return r.ContactFailures > 0 && now.Sub(r.EjectedUntil) < degradedPeriod
}
