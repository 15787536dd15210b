package order

import (
	"time"

	"camphorpulley.org/core"
)

// Step is the next action of a router on an order.
type Step int

const (
	// Append means that the router appends its claim and waits to read it.
	Append Step = iota
	// Run means that the claim has won and the router runs the order.
	Run
	// Replay means that the stored result is the answer.
	Replay
	// Refuse means that the order is refused with Decision.Refusal.
	Refuse
)

// Decision is the next step of a router on an order. Result is set with Replay,
// Refusal with Refuse.
type Decision struct {
	Step    Step
	Result  Result
	Refusal *core.Refusal
}

// Decide returns the next step for a claim: Append while the key is open, Run if the
// claim has won and has no result, Replay if the result of an equal request was kept,
// and otherwise Refuse.
func (l *Ledger) Decide(c Claim) Decision {
	o := l.orders[c.Key]
	switch {
	case o.State == Open:
		return Decision{Step: Append}
	case o.Claim.Body != c.Body:
		return refuse(422, core.NotRun, "key_reused", "the idempotency key was used for another request")
	case o.heldBy(c) && o.State == Claimed:
		return Decision{Step: Run}
	case o.State == Done && o.Result.Kept:
		return Decision{Step: Replay, Result: o.Result}
	case o.State == Done:
		return refuse(409, core.Ran, "already_run", "the request has run and its answer is no longer at hand")
	default:
		return refuse(409, core.Unknown, CodeInProgress, "the request is running or its outcome is unknown")
	}
}

// CodeInProgress is the refusal code for a key that another request has claimed.
const CodeInProgress = "in_progress"

func refuse(status int, certainty core.Certainty, code, message string) Decision {
	return Decision{Step: Refuse, Refusal: &core.Refusal{
		Status: status, Certainty: certainty, Code: code, Message: message,
	}}
}

// KeyRetention is how long keys are kept. The platform's log must keep its records
// for at least as long.
const KeyRetention = 10 * time.Minute

// MaxClockSkew is how far the clock of a caller or a router may be ahead or behind.
const MaxClockSkew = 30 * time.Second

// CheckKeyTime refuses a key that was made so long ago that it may have been
// dropped, or in the future. made is the time that the key itself states. It
// returns nil if the key is accepted.
func CheckKeyTime(now, made time.Time) *core.Refusal {
	age := now.Sub(made)
	// The caller's clock may be ahead and this router's behind, each by MaxClockSkew.
	if age > KeyRetention-2*MaxClockSkew {
		return &core.Refusal{Status: 409, Certainty: core.Unknown, Code: "key_expired",
			Message: "the idempotency key is too old for its outcome to be known"}
	}
	if age < -MaxClockSkew {
		return &core.Refusal{Status: 400, Certainty: core.NotRun, Code: "key_from_future",
			Message: "the idempotency key states a time in the future"}
	}
	return nil
}
