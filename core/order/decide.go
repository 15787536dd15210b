package order

import (
	"time"

	"camphorpulley.org/core"
)

// Step is what a router does with an order.
type Step int

const (
	// Append means that the router appends its claim and waits to read it.
	Append Step = iota
	// Run means that the claim has won.
	Run
	// Replay means that the known result is the answer.
	Replay
	// Refuse means that the order is refused as the refusal says.
	Refuse
)

// Decision is the next step of an order.
type Decision struct {
	Step    Step
	Result  Result
	Refusal *core.Refusal
}

// Decide returns the next step for a claim. Before the claim was appended, an
// open key leads to Append; afterwards the first claim decides.
func (b *Book) Decide(c Claim) Decision {
	o := b.orders[c.Key]
	switch {
	case o.State == Open:
		return Decision{Step: Append}
	case o.Claim.Body != c.Body:
		return refuse(422, core.NotRun, "key_reused", "the idempotency key was used for another request")
	case o.holds(c) && o.State == Claimed:
		return Decision{Step: Run}
	case o.State == Done && o.Result.Kept:
		return Decision{Step: Replay, Result: o.Result}
	case o.State == Done:
		return refuse(409, core.Ran, "already_run", "the request has run and its answer is no longer at hand")
	default:
		return refuse(409, core.Unknown, InProgress, "the request is running or its outcome is unknown")
	}
}

// InProgress is the code of a refusal because another request holds the key.
const InProgress = "in_progress"

func refuse(status int, certainty core.Certainty, code, message string) Decision {
	return Decision{Step: Refuse, Refusal: &core.Refusal{
		Status: status, Certainty: certainty, Code: code, Message: message,
	}}
}

// Window is how long keys are remembered. The platform's log must keep its
// records for at least as long.
const Window = 10 * time.Minute

// Slack is how far a caller's clock may be ahead or behind.
const Slack = 30 * time.Second

// CheckBirth refuses a key that was made longer ago than keys are remembered,
// or in the future. Born is the time that the key itself states.
func CheckBirth(now, born time.Time) *core.Refusal {
	age := now.Sub(born)
	if age > Window-2*Slack {
		return &core.Refusal{Status: 409, Certainty: core.Unknown, Code: "key_expired",
			Message: "the idempotency key is too old for its outcome to be known"}
	}
	if age < -Slack {
		return &core.Refusal{Status: 400, Certainty: core.NotRun, Code: "key_from_future",
			Message: "the idempotency key states a time in the future"}
	}
	return nil
}
