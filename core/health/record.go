// Package health judges upstreams by the outcomes of requests.
package health

import "time"

// Outcome is how an attempt ended.
type Outcome int

const (
	// Good is a whole answer that isn't a failure.
	Good Outcome = iota
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that a connection broke with a request on it.
	Broken
	// Misdirected means that another upstream has the address.
	Misdirected
	// Silent means that nothing came in the time that it should have.
	Silent
	// Slow means that nothing came in time while the upstream answered others.
	Slow
	// Failed is a failure that the upstream answered.
	Failed
	// Shed means that the upstream said that it didn't run the request.
	Shed
	// Unknown says nothing of the upstream, such as a caller that left.
	Unknown
)

// String returns the word for logs.
func (o Outcome) String() string {
	return [...]string{"good", "unreachable", "broken", "misdirected", "silent", "slow", "failed", "shed", "unknown"}[o]
}

// Loss reports whether the outcome says that contact was lost.
func (o Outcome) Loss() bool { return o == Unreachable || o == Broken || o == Silent }

const (
	// firstRest is how long an upstream is left alone after one loss of contact,
	// doubled for each further one: a process needs longer to start again.
	firstRest = 250 * time.Millisecond
	// longestRest bounds the rest, so that a restarted upstream is found within
	// the time that its entry needs to come back.
	longestRest = 2 * time.Second
	// weight is the part of the newest outcome in the failure rate: about the
	// last eight outcomes count.
	weight = 0.125
	// fade is how long it takes for a failure rate to halve with no outcomes, so
	// that an upstream that was avoided is tried again.
	fade = 2 * time.Second
)

// Record is what one router knows of an upstream's health. The zero value is
// an upstream of which nothing bad is known.
type Record struct {
	// Losses counts the losses of contact since the last answer.
	Losses int
	// Until is the end of the rest.
	Until time.Time
	// Rate is the share of failures among recent outcomes, as of At.
	Rate float64
	At   time.Time
}

// Note takes an outcome in. It reports whether a rest has begun.
func (r *Record) Note(now time.Time, o Outcome) bool {
	bad := 0.0
	switch o {
	case Unknown:
		return false
	case Good:
		r.Losses, r.Until = 0, time.Time{}
	case Shed, Slow:
		// A busy upstream isn't broken.
		bad = 0.5
	default:
		bad = 1
	}
	r.Rate = r.Failing(now)*(1-weight) + bad*weight
	r.At = now
	if o == Failed || o == Shed || o == Slow {
		r.Losses = 0
		return false
	}
	if o == Good || now.Before(r.Until) {
		return false
	}
	r.Losses++
	r.Until = now.Add(rest(r.Losses))
	return true
}

// rest returns how long an upstream is left alone after a number of losses.
func rest(losses int) time.Duration {
	return min(firstRest<<min(losses-1, 8), longestRest)
}

// mostCounted bounds how many outcomes of another router count at once: beyond
// it the rate is theirs in any case.
const mostCounted = 32

// Count takes in how attempts of another router ended.
func (r *Record) Count(now time.Time, good, bad int) {
	share := float64(bad) / float64(max(good+bad, 1))
	rate := r.Failing(now)
	for range min(good+bad, mostCounted) {
		rate = rate*(1-weight) + share*weight
	}
	r.Rate, r.At = rate, now
}

// Hear takes in that another router leaves the upstream alone.
func (r *Record) Hear(now time.Time, rest time.Duration) {
	if until := now.Add(min(rest, longestRest)); until.After(r.Until) {
		r.Until = until
		r.Losses = max(r.Losses, 1)
	}
}

// Failing returns the failure rate as of now.
func (r *Record) Failing(now time.Time) float64 {
	rate := r.Rate
	for age := now.Sub(r.At); age >= fade && rate > 0.01; age -= fade {
		rate /= 2
	}
	return rate
}

// Resting reports whether the upstream is left alone.
func (r *Record) Resting(now time.Time) bool { return now.Before(r.Until) }

// doubt is how long after a rest an upstream that hasn't answered gets one
// request at a time.
const doubt = 5 * time.Second

// Doubtful reports whether contact was lost and no answer has come since.
func (r *Record) Doubtful(now time.Time) bool {
	return r.Losses > 0 && now.Sub(r.Until) < doubt
}
