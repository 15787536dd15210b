package fleet

import (
	"net/http"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/catalog"
)

// Begin returns the state of a request of which nothing was sent.
func (r Request) Begin() answer.Exchange {
	return answer.Exchange{AtMostOnce: !r.Route.Repeatable(), Deterministic: r.Route.Resumable}
}

// Again reports whether another attempt may be made after one that failed.
// Sent says that the failed one reached an upstream; Runs is how many attempts
// may have run.
func (f *Fleet) Again(now time.Time, r Request, e *answer.Exchange, sent bool, runs int) bool {
	if !e.MayRetry() || e.Attempts() >= attemptLimit || r.Until.Sub(now) < leastLeft {
		return false
	}
	if runs > 0 && runs >= r.Route.MaxAttempts {
		return false
	}
	return !sent || f.Retry(now, r)
}

const (
	// attemptLimit bounds the attempts of a request, with those of which nothing
	// was sent.
	attemptLimit = 6
	// leastLeft is the least time that an attempt is worth making for.
	leastLeft = 20 * time.Millisecond
)

const (
	// patience is the part of the objective that an upstream may take to begin
	// its answer if the request may run elsewhere: the rest is for the next one.
	patience = 0.5
	// leastPatience is the shortest such wait: several times what a warm engine
	// or service needs.
	leastPatience = 120 * time.Millisecond
	// prefillRate is how many tokens of a prompt an engine reads in a millisecond
	// at the least, beside what it has to do already.
	prefillRate = 40
	// pauses is how many times the permitted pause the events of a stream may
	// stay away if it may go on elsewhere.
	pauses = 3
	// leastPause is the shortest such wait.
	leastPause = 900 * time.Millisecond
)

// spare reports whether the request may run once more after the current run.
func (r Request) spare(runs int) bool {
	return r.Route.Repeatable() && runs < r.Route.MaxAttempts
}

// BeginBy returns until when the target of the given run must begin its answer.
// An engine that lacks parts of the prompt gets the time to read them.
func (r Request) BeginBy(now time.Time, t Target, run int) time.Time {
	if !r.spare(run) || r.Route.LatencyObjective <= 0 {
		return r.Until
	}
	wait := max(time.Duration(patience*float64(r.Route.LatencyObjective)), leastPatience)
	missing := t.Prompt - t.Held + r.Own
	wait += time.Duration(missing/prefillRate) * time.Millisecond
	return earlier(now.Add(wait), r.Until)
}

// NextBy returns until when the next event of a stream must come.
func (r Request) NextBy(now time.Time, run int) time.Time {
	if !r.spare(run) || r.Route.Kind != catalog.Stream {
		return r.Until
	}
	return earlier(now.Add(max(pauses*r.Route.EventTimeout, leastPause)), r.Until)
}

// ConnectBy returns how long an upstream may take to accept a connection.
func (r Request) ConnectBy(now time.Time) time.Duration {
	wait := longestConnect
	if r.Route.LatencyObjective > 0 {
		wait = min(wait, max(r.Route.LatencyObjective/4, leastConnect))
	}
	return max(min(wait, r.Until.Sub(now)), time.Millisecond)
}

const (
	// longestConnect and leastConnect bound the wait for a connection: several
	// round trips between data centres of a region, and less than the second
	// after which a lost opening packet is sent again.
	longestConnect = 150 * time.Millisecond
	leastConnect   = 50 * time.Millisecond
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// comeBack is when a refused caller should try again: an upstream that lost
// contact is tried again, or its entry is gone, by then.
const comeBack = 300 * time.Millisecond

// ComeBack returns when a caller that was refused should try again.
func (f *Fleet) ComeBack() time.Duration { return comeBack }

// Refuse returns the refusal of a request whose attempts have failed.
func (f *Fleet) Refuse(now time.Time, r Request, e *answer.Exchange, message string) *core.Refusal {
	refusal := e.Refusal(http.StatusServiceUnavailable, "attempts_failed", message)
	if refusal.Certainty != core.NotRun && !now.Before(r.Until) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}
