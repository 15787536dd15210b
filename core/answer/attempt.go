// Package answer holds the state of a request from its first attempt to its
// last byte: what was sent, what has come back and what may be said of it.
package answer

import (
	"camphorpulley.org/core"
)

// Phase is how far an attempt has come.
type Phase int

const (
	// Prepared means that no byte was handed to a connection.
	Prepared Phase = iota
	// Handed means that bytes may have reached the upstream.
	Handed
	// Begun means that the answer has begun.
	Begun
	// Ended means that the whole answer is here.
	Ended
	// Broken means that the attempt came to no end.
	Broken
	// Declined means that the upstream said that it did not run the request.
	Declined
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID       int
	Upstream core.UpstreamID
	Phase    Phase
}

// Exchange is a request with its attempts. The zero value has none.
type Exchange struct {
	// Once is set for a request that may run at most once.
	Once bool
	// Same is set if every run of the request gives the same answer, so that
	// another run may continue a broken one.
	Same     bool
	attempts []Attempt
	// delivered is the number of parts that the caller has received.
	delivered int
	ended     bool
}

// Start begins an attempt and returns its id.
func (e *Exchange) Start(upstream core.UpstreamID) int {
	id := len(e.attempts) + 1
	e.attempts = append(e.attempts, Attempt{ID: id, Upstream: upstream})
	return id
}

// Attempts returns the number of attempts.
func (e *Exchange) Attempts() int { return len(e.attempts) }

// Delivered returns the number of parts that the caller has received.
func (e *Exchange) Delivered() int { return e.delivered }

// Ended reports whether the caller has the whole answer.
func (e *Exchange) Ended() bool { return e.ended }

// Mark moves an attempt on. A phase never goes back, so that an attempt that
// has been handed over never counts as prepared again, and an attempt that
// has ended, broken or been declined stays so.
func (e *Exchange) Mark(id int, p Phase) {
	if id < 1 || id > len(e.attempts) {
		return
	}
	a := &e.attempts[id-1]
	if p > a.Phase && a.Phase < Ended {
		a.Phase = p
	}
}

// Certainty returns what may be said of a request that got no answer. It is
// NotRun only if no attempt has handed over a byte, or the upstream of each
// one that has declined it.
func (e *Exchange) Certainty() core.Certainty {
	for _, a := range e.attempts {
		if a.Phase != Prepared && a.Phase != Declined {
			return core.Unknown
		}
	}
	return core.NotRun
}

// MayRetry reports whether another attempt is permitted after what was sent.
func (e *Exchange) MayRetry() bool {
	if e.ended {
		return false
	}
	if e.Certainty() == core.NotRun {
		return true
	}
	return !e.Once && (e.delivered == 0 || e.Same)
}

// MayResume reports whether a broken stream may go on in the process that
// began it.
func (e *Exchange) MayResume() bool {
	return !e.ended && !e.Once
}

// Verdict says what a front end does with a part of an answer.
type Verdict int

const (
	// Drop means that the part is late, doubled or crossed.
	Drop Verdict = iota
	// Deliver means that the part is the next one.
	Deliver
	// Missing means that parts before this one were lost.
	Missing
)

// Part decides on a part of an answer, by its attempt and its position, which
// is counted from one.
func (e *Exchange) Part(attempt, position int) Verdict {
	switch {
	case e.ended || attempt != len(e.attempts):
		return Drop
	case position <= e.delivered:
		return Drop
	case position > e.delivered+1:
		return Missing
	}
	e.Mark(attempt, Begun)
	e.delivered++
	return Deliver
}

// End decides on the end mark of an answer. It reports whether the answer is
// whole: the mark is that of the last attempt and comes after total parts.
func (e *Exchange) End(attempt, total int) bool {
	if e.ended || attempt != len(e.attempts) || total != e.delivered {
		return false
	}
	e.Mark(attempt, Ended)
	e.ended = true
	return true
}

// Refuse returns the refusal of the request as its attempts stand. The status
// is that of a request which has not run; one whose outcome is unknown gets
// status 502.
func (e *Exchange) Refuse(status int, code, message string) *core.Refusal {
	r := &core.Refusal{Status: status, Certainty: e.Certainty(), Code: code, Message: message}
	if r.Certainty != core.NotRun {
		r.Status = 502
	}
	return r
}
