// Package ledger holds what callers, runners and operators of a soak have seen,
// and checks the promises against it.
package ledger

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind says what may be repeated of a request.
type Kind string

// The kinds of requests.
const (
	Safe   Kind = "safe"
	Once   Kind = "once"
	Resume Kind = "resume"
	Single Kind = "single"
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == Resume }

// The bounds that are checked, as the users' pages give them.
const (
	// Drain is how long after its leaving was written a runner may get work.
	Drain = 2 * time.Second
	// Apply is how long after it was written an older configuration may be in force.
	Apply = 2 * time.Second
	// Evacuate is how long after a zone was taken out its runners may get work.
	Evacuate = 5 * time.Second
	// Contact is how long nothing may have been harmed for the bounds to hold.
	Contact = 3 * time.Second
	// ColdOver and ColdSlack bound the requests of a cold runner in a second.
	ColdOver  = 1.5
	ColdSlack = 5
)

// Request is one that a caller has sent.
type Request struct {
	ID     string
	Kind   Kind
	Route  string
	Router string
	Tenant string
	// Line is the method and path, Body what was sent.
	Line, Body string
	Sent       time.Time
	runs       int
	promised   bool
}

// Run is a request at a runner.
type Run struct {
	ID, Runner, Pool, Zone string
	Line, Body             string
	Tenant                 string
	// Key is the API key if the runner got one; it must not.
	Key string
	At  time.Time
	// Left is when the runner's leaving was written; zero if it stays.
	Left time.Time
	// ColdRate is how many requests a second the runner bears; zero if it is warm.
	ColdRate float64
}

// Violation is a broken promise.
type Violation struct {
	At      time.Time
	Promise string
	Detail  string
}

// harm is a time in which a part of the system was harmed.
type harm struct {
	part       string
	planned    bool
	from, to   time.Time
	unfinished bool
}

// version is a configuration.
type version struct {
	at    time.Time
	pools map[string]string
}

// Ledger is safe for use by many goroutines. The zero value is empty.
type Ledger struct {
	mu         sync.Mutex
	requests   map[string]*Request
	harms      []harm
	versions   []version
	out        map[string]time.Time
	cold       map[string][]time.Time
	violations []Violation
	counts     map[string]int
}

// Store and Everything are the parts that concern all routers.
const (
	Store      = "store"
	Everything = "everything"
)

// Send takes in that a caller sends a request.
func (l *Ledger) Send(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests == nil {
		l.requests = map[string]*Request{}
	}
	l.requests[r.ID] = &r
}

// Harm takes in that a part is harmed, by planned work or not, and returns what
// ends it.
func (l *Ledger) Harm(now time.Time, part string, planned bool) func(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harms = append(l.harms, harm{part: part, planned: planned, from: now, unfinished: true})
	i := len(l.harms) - 1
	return func(now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.harms[i].to, l.harms[i].unfinished = now, false
	}
}

// calm reports whether none of some parts was harmed between two times.
func (l *Ledger) calm(from, to time.Time, parts ...string) bool {
	for _, h := range l.harms {
		if h.from.After(to) || (!h.unfinished && h.to.Before(from)) {
			continue
		}
		for _, p := range append(parts, Everything) {
			if h.part == p {
				return false
			}
		}
	}
	return true
}

// Calm reports whether nothing was harmed between two times but by planned work.
func (l *Ledger) Calm(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.harms {
		if !h.planned && !h.from.After(to) && (h.unfinished || !h.to.Before(from)) {
			return false
		}
	}
	return true
}

// Configure takes in that a configuration was written.
func (l *Ledger) Configure(now time.Time, pools map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at: now, pools: pools})
}

// Out takes in that a zone is out of service, or in it again.
func (l *Ledger) Out(now time.Time, zone string, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		l.out = map[string]time.Time{}
	}
	if delete(l.out, zone); out {
		l.out[zone] = now
	}
}

// Ran takes in that a runner begins to run a request.
func (l *Ledger) Ran(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[r.ID]
	if q == nil {
		l.broken(r.At, "unasked", "runner %s ran unknown request %q", r.Runner, r.ID)
		return
	}
	q.runs++
	if q.Line != r.Line || q.Body != r.Body || r.Key != "" || r.Tenant != q.Tenant {
		l.broken(r.At, "unasked", "request %s was changed: %q %q tenant %q", r.ID, r.Line, r.Body, r.Tenant)
	}
	if !q.Kind.Repeatable() && q.runs > 1 {
		l.broken(r.At, "twice", "request %s ran %d times", r.ID, q.runs)
	}
	l.checkPromise(r.At, q)
	l.checkPlace(r, q)
	l.checkCold(r)
}

// checkPromise checks that a request that was refused as not run has not run.
func (l *Ledger) checkPromise(now time.Time, q *Request) {
	if q.promised && q.runs > 0 && !q.Kind.Repeatable() {
		l.broken(now, "refused", "request %s was refused as not run, and ran", q.ID)
	}
}

func (l *Ledger) checkPlace(r Run, q *Request) {
	calm := l.calm(r.At.Add(-Contact), r.At, q.Router, Store, r.Runner)
	if !r.Left.IsZero() && r.At.Sub(r.Left) > Drain && q.Sent.Sub(r.Left) > Drain && calm {
		l.broken(r.At, "drain", "request %s reached %s %s after it had left, from %s", r.ID, r.Runner, r.At.Sub(r.Left), q.Router)
	}
	if since, out := l.out[r.Zone]; out && q.Sent.Sub(since) > Evacuate && calm {
		l.broken(r.At, "evacuated", "request %s reached %s %s after zone %s went out", r.ID, r.Runner, r.At.Sub(since), r.Zone)
	}
	ever, permitted := false, false
	for i, v := range l.versions {
		if v.pools[q.Route] != r.Pool {
			continue
		}
		ever = true
		old := i+1 < len(l.versions) && q.Sent.Sub(l.versions[i+1].at) > Apply
		permitted = permitted || !old
	}
	if !ever {
		l.broken(r.At, "route", "request %s of route %s ran in pool %s", r.ID, q.Route, r.Pool)
	} else if !permitted && calm {
		l.broken(r.At, "config", "request %s of route %s ran in pool %s, which no version in force names", r.ID, q.Route, r.Pool)
	}
}

func (l *Ledger) checkCold(r Run) {
	if r.ColdRate <= 0 {
		return
	}
	if l.cold == nil {
		l.cold = map[string][]time.Time{}
	}
	times := append(l.cold[r.Runner], r.At)
	for r.At.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	l.cold[r.Runner] = times
	if float64(len(times)) > r.ColdRate*ColdOver+ColdSlack {
		l.broken(r.At, "cold", "cold runner %s got %d requests in a second", r.Runner, len(times))
	}
}

// Promise takes in that a caller was told that its request has not run.
func (l *Ledger) Promise(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	q.promised = true
	l.checkPromise(now, q)
}

// Broken notes a broken promise that somebody else has seen.
func (l *Ledger) Broken(now time.Time, promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(now, promise, format, args...)
}

func (l *Ledger) broken(now time.Time, promise, format string, args ...any) {
	l.violations = append(l.violations, Violation{At: now, Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].runs
}

// Count counts how a request ended.
func (l *Ledger) Count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[outcome]++
}

// Result returns the counts of outcomes and the violations.
func (l *Ledger) Result() (map[string]int, []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts), slices.Clone(l.violations)
}
