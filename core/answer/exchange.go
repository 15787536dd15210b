// Package answer holds the state of a request from its first attempt to the last
// byte of its answer: what was sent to upstreams, what was delivered to the caller
// and whether the request may have run.
package answer

import (
	"camphorpulley.org/core"
)

// Phase is the progress of an attempt.
type Phase int

const (
	// Prepared means that no byte was written to a connection.
	Prepared Phase = iota
	// Sent means that bytes may have reached the upstream.
	Sent
	// Answering means that the answer has begun to arrive.
	Answering
	// Completed means that the whole answer has arrived.
	Completed
	// Failed means that the attempt ended without a whole answer.
	Failed
	// Declined means that the upstream reported that it did not run the request.
	Declined
)

// Attempt is one try of a request at one upstream. Decisions depend only on its ID
// and its phase.
type Attempt struct {
	ID       int
	Upstream core.UpstreamID
	Phase    Phase
}

// Exchange is a request with its attempts and its answer. The zero value has no
// attempts.
type Exchange struct {
	// AtMostOnce is true for a request that may run at most once.
	AtMostOnce bool
	// Deterministic is true if every run of the request gives the same answer, so
	// that another run may continue a broken one.
	Deterministic bool
	attempts      []Attempt
	// delivered is the number of chunks that the caller has received.
	delivered int
	complete  bool
}

// StartAttempt adds an attempt and returns its id, counted from one.
func (e *Exchange) StartAttempt(upstream core.UpstreamID) int {
	id := len(e.attempts) + 1
	e.attempts = append(e.attempts, Attempt{ID: id, Upstream: upstream})
	return id
}

// Attempts returns how many attempts have been started.
func (e *Exchange) Attempts() int { return len(e.attempts) }

// Delivered returns the number of chunks that the caller has received.
func (e *Exchange) Delivered() int { return e.delivered }

// Complete reports whether the caller has received the whole answer.
func (e *Exchange) Complete() bool { return e.complete }

// SetPhase sets the phase of an attempt unless that would move it back, so that a
// sent attempt never counts as prepared again. An attempt that is completed, failed
// or declined keeps its phase.
func (e *Exchange) SetPhase(id int, p Phase) {
	if id < 1 || id > len(e.attempts) {
		return
	}
	a := &e.attempts[id-1]
	if p > a.Phase && a.Phase < Completed {
		a.Phase = p
	}
}

// Certainty returns what is known of a request without an answer: NotRun if each
// attempt is still Prepared or was Declined, otherwise Unknown. An attempt that
// fails before a byte is sent must therefore stay Prepared.
func (e *Exchange) Certainty() core.Certainty {
	for _, a := range e.attempts {
		if a.Phase != Prepared && a.Phase != Declined {
			return core.Unknown
		}
	}
	return core.NotRun
}

// MayRetry reports whether another attempt is permitted. None is once the answer is
// complete. Until then a request that has not run may always be retried; any other
// only if it may run more than once and either no chunk was delivered or every run
// gives the same answer.
func (e *Exchange) MayRetry() bool {
	if e.complete {
		return false
	}
	if e.Certainty() == core.NotRun {
		return true
	}
	return !e.AtMostOnce && (e.delivered == 0 || e.Deterministic)
}

// MayResume reports whether a broken stream may be resumed at the upstream process
// that began it: the answer is not complete and the request may run more than once.
func (e *Exchange) MayResume() bool {
	return !e.complete && !e.AtMostOnce
}

// Verdict is the decision on a chunk or an event of an answer.
type Verdict int

const (
	// Drop means that the chunk or event is a duplicate, late, or of another
	// attempt, and must be ignored.
	Drop Verdict = iota
	// Deliver means that the chunk or event is the next one for the caller.
	Deliver
	// Missing means that chunks or events before this one were lost.
	Missing
)

// AcceptChunk decides on a chunk of an answer by its attempt and its position in
// the answer, both counted from one. A chunk to deliver counts as delivered.
func (e *Exchange) AcceptChunk(attempt, position int) Verdict {
	switch {
	case e.complete || attempt != len(e.attempts):
		return Drop
	case position <= e.delivered:
		return Drop
	case position > e.delivered+1:
		return Missing
	}
	e.SetPhase(attempt, Answering)
	e.delivered++
	return Deliver
}

// AcceptEnd handles the end mark of an answer and reports whether the mark completes
// it: the answer was not complete before, the mark is that of the last attempt, and
// exactly total chunks were delivered.
func (e *Exchange) AcceptEnd(attempt, total int) bool {
	if e.complete || attempt != len(e.attempts) || total != e.delivered {
		return false
	}
	e.SetPhase(attempt, Completed)
	e.complete = true
	return true
}

// Refusal returns the refusal of the request with the certainty that follows from
// its attempts. The given status is used if the request has not run; if its outcome
// is unknown, the status is 502.
func (e *Exchange) Refusal(status int, code, message string) *core.Refusal {
	r := &core.Refusal{Status: status, Certainty: e.Certainty(), Code: code, Message: message}
	if r.Certainty != core.NotRun {
		r.Status = 502
	}
	return r
}
