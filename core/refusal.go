package core

import "fmt"

// Certainty says what a refused caller may conclude about its request.
type Certainty int

const (
	// Unknown means that the request may have run. It is the zero value, so
	// that a forgotten field never claims too much.
	Unknown Certainty = iota
	// NotRun means that no upstream has run or will run the request.
	NotRun
	// Ran means that the request has run and its answer is not at hand.
	Ran
)

// String returns the word used in headers, logs and error bodies.
func (c Certainty) String() string {
	switch c {
	case NotRun:
		return "not_run"
	case Ran:
		return "already_run"
	default:
		return "outcome_unknown"
	}
}

// Refusal is the error that a caller sees in place of an answer.
type Refusal struct {
	// Status is the HTTP status that a front end shows.
	Status int
	// Certainty says whether the request ran.
	Certainty Certainty
	// Code is a stable word for programs, such as "no_capacity".
	Code string
	// Message tells a person what happened.
	Message string
	// RetryAfter is in seconds; zero gives no advice.
	RetryAfter int
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Certainty, r.Message)
}
