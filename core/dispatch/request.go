package dispatch

import (
	"time"

	"camphorpulley.org/core"
)

// Key identifies a request: the router that has it and a number that the router gives to no
// other one.
type Key struct {
	Router core.RouterID
	Number uint64
}

// Request asks for a slot.
type Request struct {
	Key
	// Rank is the priority; zero goes first.
	Rank       int
	Account    core.Account
	DataCentre core.DataCentre
	// Objective is when the answer should be there; zero if there is no objective. Deadline is
	// when the caller gives up.
	Objective, Deadline time.Time
	// Excluded are the upstreams that must not get the request: it has been there, or its
	// router can't use them.
	Excluded []core.UpstreamID
	// Runs is how often upstreams may have run the request.
	Runs int
	// Stream is true if the answer is a stream: the slot may be taken until the deadline, and the
	// time says nothing of the upstream's pace.
	Stream bool
}

// Upstream is an upstream of the pool that may get work.
type Upstream struct {
	ID         core.UpstreamID
	DataCentre core.DataCentre
	Slots      int
	// Running is the number of requests there as the routers count them. It counts when the
	// upstream is first seen.
	Running int
	// Cold is true while the upstream keeps to Limits.ColdRate.
	Cold bool
}

// Limits bound what a Dispatcher grants.
type Limits struct {
	// Share is the fraction of the slots that it may grant; the dispatchers of other parts of a
	// partition grant the rest. At each upstream it may grant one at least.
	Share float64
	// LoadFactor is the highest load of an upstream as a multiple of the mean of the pool.
	LoadFactor float64
	// ColdRate is the number of requests per second to a cold upstream; zero sets no bound.
	ColdRate float64
}

// Kind is what was decided on a request.
type Kind int

// The kinds of decisions.
const (
	// Granted requests go to an upstream at once.
	Granted Kind = iota + 1
	// Queued requests are decided on later.
	Queued
	// Refused requests can't end in time.
	Refused
)

// Decision is what was decided on a request.
type Decision struct {
	Key
	Kind Kind
	// Upstream is the one whose slot was granted.
	Upstream core.UpstreamID
	// After is the longest time until the next decision on a queued request, or the time after
	// which the caller of a refused one may return.
	After time.Duration
}

// Outcome is how a granted slot was used.
type Outcome int

// The outcomes. Unused is also that of a request that no longer waits for a slot.
const (
	Unused Outcome = iota
	// Answered requests have a complete answer.
	Answered
	// Rejected requests were turned away by a full upstream.
	Rejected
	// Unreached requests found no connection to the upstream.
	Unreached
	// Lost requests have failed or were given up after they were sent.
	Lost
)
