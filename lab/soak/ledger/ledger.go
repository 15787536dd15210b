// Package ledger records what the callers, runners and operators of a soak
// observe and checks the guarantees of the router against it.
package ledger

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind describes whether and how a request may be repeated.
type Kind string

// The kinds of requests.
const (
	// Safe requests have no side effects and may run any number of times.
	Safe Kind = "safe"
	// AtMostOnce requests have side effects and must not run twice.
	AtMostOnce Kind = "once"
	// ResumableStream requests may run again from the last event received.
	ResumableStream Kind = "resume"
	// SingleStream requests are streams that must not run twice.
	SingleStream Kind = "single"
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == ResumableStream }

// The limits that are checked, as the users' documentation gives them.
const (
	// DrainLimit is how long after its withdrawal was written a runner may still
	// receive requests.
	DrainLimit = 2 * time.Second
	// ConfigLimit is how long after a new configuration was written the previous
	// one may still be in force.
	ConfigLimit = 2 * time.Second
	// EvacuationLimit is how long after a zone was evacuated its runners may
	// still receive requests.
	EvacuationLimit = 5 * time.Second
	// RecoveryTime is the period after the end of a fault in which it is not
	// checked whether the limits above hold or a request that ran gets a response.
	RecoveryTime = 3 * time.Second
	// A cold runner may receive ColdRateFactor times its cold rate plus
	// ColdRateSlack requests in one second.
	ColdRateFactor = 1.5
	ColdRateSlack  = 5
)

// Request is a request that a caller has sent.
type Request struct {
	ID     string
	Kind   Kind
	Route  string
	Router string
	Tenant string
	// Line is the method and the path, Body the content as sent.
	Line, Body string
	SentAt     time.Time
	runs       []period
	// refused is true once the caller has received a status which promises that
	// the request has not run.
	refused bool
	// steps holds what runners have done with the request, for traces.
	steps []Step
}

// Run is the execution of a request by a runner.
type Run struct {
	// ID is the id of the request. Line, Body and Tenant are those that the runner
	// received.
	ID, Runner, Pool, Zone string
	Release                string
	Line, Body             string
	Tenant                 string
	// Key is the API key that the runner received. Routers must not pass it on.
	Key string
	At  time.Time
	// Conn names the connection on which the runner received the request.
	Conn string
	// WithdrawnAt is when the runner's entry was written as draining or removed;
	// zero while the runner is in service.
	WithdrawnAt time.Time
	// ColdRate is the capacity of a cold runner in requests per second; zero if
	// the runner is warm.
	ColdRate float64
}

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	At        time.Time
	Guarantee string
	Detail    string
	// Steps holds what runners have done with the request that was judged, if the guarantee
	// is one about its runs.
	Steps   []Step
	request *Request
}

// configuration maps routes to pools.
type configuration struct {
	writtenAt time.Time
	pools     map[string]string
}

// Ledger is safe for use by many goroutines. The zero value is empty.
type Ledger struct {
	mu        sync.Mutex
	requests  map[string]*Request
	faults    []Fault
	configs   []configuration
	evacuated map[string]time.Time
	// coldRuns holds the times of the last second's requests by cold runner.
	coldRuns map[string][]time.Time
	// limits holds the limits that runners name, leaving when a router was told that a
	// runner leaves, turnedAway for how long a runner has turned a router away.
	limits     map[string]*limit
	leaving    map[pair]time.Time
	turnedAway map[pair]*turnedAway
	rollout    *Rollout
	violations []Violation
	outcomes   map[string]int
	events     map[string]int
}

// RecordRequest records a request that a caller is about to send.
func (l *Ledger) RecordRequest(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests == nil {
		l.requests = map[string]*Request{}
	}
	l.requests[r.ID] = &r
}

// RecordConfig records that a configuration was written, with the pool of each
// route.
func (l *Ledger) RecordConfig(now time.Time, pools map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, configuration{writtenAt: now, pools: pools})
}

// SetEvacuated records that a zone was evacuated or returned to service.
func (l *Ledger) SetEvacuated(now time.Time, zone string, evacuated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evacuated == nil {
		l.evacuated = map[string]time.Time{}
	}
	if delete(l.evacuated, zone); evacuated {
		l.evacuated[zone] = now
	}
}

// RecordRun records that a runner starts to run a request, and checks that the
// runner was allowed to receive it.
func (l *Ledger) RecordRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[r.ID]
	if q == nil {
		l.addViolation(r.At, "integrity", "runner %s ran unknown request %q", r.Runner, r.ID)
		return
	}
	l.addRun(q, r)
	if q.Line != r.Line || q.Body != r.Body || r.Key != "" || r.Tenant != q.Tenant {
		l.addViolation(r.At, "integrity", "request %s arrived changed: got %q, body %q, tenant %q, API key passed on: %t; want %q, body %q, tenant %q and no API key",
			r.ID, r.Line, r.Body, r.Tenant, r.Key != "", q.Line, q.Body, q.Tenant)
	}
	if !q.Kind.Repeatable() && len(q.runs) > 1 {
		l.addRunViolation(r.At, q, "ran_twice", "request %s ran %d times, want at most 1", r.ID, len(q.runs))
	}
	l.checkRefusal(r.At, q)
	l.checkPlacement(r, q)
	l.checkColdRate(r)
	l.checkExposure(r, q)
}

// checkRefusal checks that an unrepeatable request which was refused as not run
// has not run, neither before nor after the refusal.
func (l *Ledger) checkRefusal(now time.Time, q *Request) {
	if q.refused && len(q.runs) > 0 && !q.Kind.Repeatable() {
		l.addRunViolation(now, q, "refused_but_ran", "request %s was refused as not run, but ran", q.ID)
	}
}

// checkPlacement checks that the runner was in service, that its zone was not
// evacuated, and that its pool belonged to the request's route. The limits apply
// only if there was no fault in the router, the store or the runner for
// RecoveryTime; a pool that no configuration named is always a violation.
func (l *Ledger) checkPlacement(r Run, q *Request) {
	stable := l.noFault(r.At.Add(-RecoveryTime), r.At, q.Router, StoreComponent, r.Runner)
	if !r.WithdrawnAt.IsZero() && r.At.Sub(r.WithdrawnAt) > DrainLimit && q.SentAt.Sub(r.WithdrawnAt) > DrainLimit && stable {
		l.addViolation(r.At, "drain", "request %s from %s reached %s %s after its withdrawal, want at most %s",
			r.ID, q.Router, r.Runner, r.At.Sub(r.WithdrawnAt), DrainLimit)
	}
	if since, ok := l.evacuated[r.Zone]; ok && q.SentAt.Sub(since) > EvacuationLimit && stable {
		l.addViolation(r.At, "evacuated", "request %s reached %s %s after the evacuation of zone %s; it was sent after %s, want at most %s",
			r.ID, r.Runner, r.At.Sub(since), r.Zone, q.SentAt.Sub(since), EvacuationLimit)
	}
	named, allowed := false, false
	for i, c := range l.configs {
		if c.pools[q.Route] != r.Pool {
			continue
		}
		named = true
		replaced := i+1 < len(l.configs) && q.SentAt.Sub(l.configs[i+1].writtenAt) > ConfigLimit
		allowed = allowed || !replaced
	}
	if !named {
		l.addViolation(r.At, "route", "request %s of route %s ran in pool %s, which no configuration names for the route", r.ID, q.Route, r.Pool)
	} else if !allowed && stable {
		l.addViolation(r.At, "config", "request %s of route %s ran in pool %s, which only configurations replaced for more than %s name",
			r.ID, q.Route, r.Pool, ConfigLimit)
	}
}

// checkColdRate checks the number of requests that a cold runner has received
// within the last second.
func (l *Ledger) checkColdRate(r Run) {
	if r.ColdRate <= 0 {
		return
	}
	if l.coldRuns == nil {
		l.coldRuns = map[string][]time.Time{}
	}
	times := append(l.coldRuns[r.Runner], r.At)
	for r.At.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	l.coldRuns[r.Runner] = times
	if limit := r.ColdRate*ColdRateFactor + ColdRateSlack; float64(len(times)) > limit {
		l.addViolation(r.At, "cold", "cold runner %s received %d requests within 1 s, want at most %g", r.Runner, len(times), limit)
	}
}

// RecordRefusal records that a caller received a status which promises that its
// request has not run.
func (l *Ledger) RecordRefusal(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	q.refused = true
	l.checkRefusal(now, q)
}

// RecordViolation records a violation that another part of the soak has detected.
func (l *Ledger) RecordViolation(now time.Time, guarantee, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(now, guarantee, format, args...)
}

func (l *Ledger) addViolation(now time.Time, guarantee, format string, args ...any) {
	l.violations = append(l.violations, Violation{At: now, Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// Runs returns how many times a request has run.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests[id].runs)
}

// CountOutcome counts a request that ended with an outcome: a status code, or
// the name of a failure.
func (l *Ledger) CountOutcome(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes == nil {
		l.outcomes = map[string]int{}
	}
	l.outcomes[outcome]++
}

// Result returns the number of requests by outcome, and the violations in the
// order in which they were recorded.
func (l *Ledger) Result() (map[string]int, []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := slices.Clone(l.violations)
	for i := range violations {
		if q := violations[i].request; q != nil {
			violations[i].Steps = slices.Clone(q.steps)
		}
	}
	return maps.Clone(l.outcomes), violations
}
