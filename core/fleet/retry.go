package fleet

import (
	"net/http"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/catalog"
)

// NewExchange returns the exchange of a request before its first attempt.
func (r Request) NewExchange() answer.Exchange {
	return answer.Exchange{AtMostOnce: !r.Route.Repeatable(), Deterministic: r.Route.Deterministic}
}

// MayRetry reports whether another attempt may be made after a failed one. It refuses
// if the exchange forbids it, if an attempt limit is reached or if less than
// minTimeLeft remains. If sent, the failed attempt reached an upstream, and the next
// one is charged to the retry budget. Runs is how many attempts may have run.
func (f *Fleet) MayRetry(now time.Time, r Request, e *answer.Exchange, sent bool, runs int) bool {
	return r.mayTryAgain(now, e, runs) && (!sent || f.TakeRetry(now, r))
}

// mayTryAgain reports whether the limits of the request itself permit another attempt.
func (r Request) mayTryAgain(now time.Time, e *answer.Exchange, runs int) bool {
	if !e.MayRetry() || e.Attempts() >= maxAttempts || r.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	return runs == 0 || runs < r.Route.MaxRuns
}

const (
	// maxAttempts bounds the attempts of a request, including those of which nothing
	// was sent.
	maxAttempts = 6
	// minTimeLeft is the shortest time before the deadline in which an attempt is
	// still made.
	minTimeLeft = 20 * time.Millisecond
)

const (
	// firstByteFraction is the fraction of the latency objective within which an
	// upstream must begin its response if the request may run elsewhere: the rest is
	// for the next attempt.
	firstByteFraction = 0.5
	// minFirstByteWait is the shortest such wait: several times what a warm engine or
	// service needs.
	minFirstByteWait = 120 * time.Millisecond
	// minPrefillRate is the least number of prompt tokens that an engine prefills per
	// millisecond while it runs other requests.
	minPrefillRate = 40
	// eventTimeoutMultiple is the longest time between two events, as a multiple of the
	// route's EventTimeout, of a stream that may be resumed elsewhere.
	eventTimeoutMultiple = 3
	// minEventWait is the shortest such wait.
	minEventWait = 900 * time.Millisecond
)

// mayRunAgain reports whether the request may run once more after the current run.
func (r Request) mayRunAgain(runs int) bool {
	return r.Route.Repeatable() && runs < r.Route.MaxRuns
}

// FirstByteDeadline returns the time by which the target should begin its response in
// the given run: the request's deadline, or earlier if the request may run again and
// its route has an objective. A target that is later is left only for another one. An engine without parts of the prompt gets additional
// time to prefill them.
func (r Request) FirstByteDeadline(now time.Time, t Target, run int) time.Time {
	if !r.mayRunAgain(run) || r.Route.LatencyObjective <= 0 {
		return r.Deadline
	}
	wait := max(time.Duration(firstByteFraction*float64(r.Route.LatencyObjective)), minFirstByteWait)
	missing := t.SharedTokens - t.CachedTokens + r.OwnTokens
	wait += time.Duration(missing/minPrefillRate) * time.Millisecond
	return earlier(now.Add(wait), r.Deadline)
}

// NextEventDeadline returns the time by which the next event of a stream should arrive: the
// request's deadline, or earlier if a stream may run again. An upstream that is later is left
// only for another one.
func (r Request) NextEventDeadline(now time.Time, run int) time.Time {
	if !r.mayRunAgain(run) || r.Route.Kind != catalog.Stream {
		return r.Deadline
	}
	return earlier(now.Add(max(eventTimeoutMultiple*r.Route.EventTimeout, minEventWait)), r.Deadline)
}

// ConnectTimeout returns how long to wait for an upstream to accept a connection. It
// is at least 1 ms.
func (r Request) ConnectTimeout(now time.Time) time.Duration {
	wait := maxConnectTimeout
	if r.Route.LatencyObjective > 0 {
		wait = min(wait, max(r.Route.LatencyObjective/4, minConnectTimeout))
	}
	return max(min(wait, r.Deadline.Sub(now)), time.Millisecond)
}

const (
	// maxConnectTimeout and minConnectTimeout bound the wait for a connection: several
	// round trips between data centres of a region, and less than the second after
	// which TCP retransmits a lost SYN.
	maxConnectTimeout = 150 * time.Millisecond
	minConnectTimeout = 50 * time.Millisecond
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// retryAfter is how long a refused caller should wait: by then an upstream after a
// contact failure is tried again, or its entry is removed.
const retryAfter = 300 * time.Millisecond

// RetryAfter returns how long a refused caller should wait before it tries again.
func (f *Fleet) RetryAfter() time.Duration { return retryAfter }

// Refuse returns the refusal of a request whose attempts have failed, with status 504
// if the deadline has passed and the request may have run.
func (f *Fleet) Refuse(now time.Time, r Request, e *answer.Exchange, message string) *core.Refusal {
	refusal := e.Refusal(http.StatusServiceUnavailable, "attempts_failed", message)
	if refusal.Certainty != core.NotRun && !now.Before(r.Deadline) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}
