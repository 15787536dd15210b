package core

import (
	"fmt"
	"time"
)

// Certainty states whether a refused request has run.
type Certainty int

const (
	// Unknown means that the request may have run. It is the zero value, so that
	// an unset field never claims more than is known.
	Unknown Certainty = iota
	// NotRun means that no upstream has run or will run the request.
	NotRun
	// Ran means that the request has run and its answer is not available.
	Ran
)

// String returns the value used in headers, logs and error bodies.
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

// Refusal is the error that a caller receives instead of an answer.
type Refusal struct {
	// Status is the HTTP status of the response.
	Status int
	// Certainty states whether the request has run.
	Certainty Certainty
	// Code is a stable, machine-readable code such as "no_capacity".
	Code string
	// Message describes the error for people.
	Message string
	// RetryAfter is the advised delay before a retry; zero gives none.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Certainty, r.Message)
}
