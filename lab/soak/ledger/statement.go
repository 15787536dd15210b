package ledger

import (
	"maps"
	"time"
)

// A router may send at most MaxTurnedAway requests to a runner that has turned it away for
// a time, from TurnedAwayGrace after that until the time is over.
const (
	TurnedAwayGrace = 500 * time.Millisecond
	MaxTurnedAway   = 2
)

// pair is a runner and a router.
type pair struct {
	runner, router string
}

// turnedAway is the time for which a runner has turned a router away.
type turnedAway struct {
	from, until time.Time
	arrivals    int
}

// RecordLeavingTold records that a router has got a response which says that the runner
// leaves.
func (l *Ledger) RecordLeavingTold(now time.Time, runner, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		return
	}
	if l.leaving == nil {
		l.leaving = map[pair]time.Time{}
	}
	if p := (pair{runner, q.Router}); l.leaving[p].IsZero() {
		l.leaving[p] = now
	}
}

// RecordTurnedAway records that a router has got a response with which the runner turns it
// away for a time.
func (l *Ledger) RecordTurnedAway(now time.Time, runner, id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		return
	}
	if l.turnedAway == nil {
		l.turnedAway = map[pair]*turnedAway{}
	}
	l.turnedAway[pair{runner, q.Router}] = &turnedAway{from: now.Add(TurnedAwayGrace), until: now.Add(d)}
}

// ForgetStatements records that a router has started: it doesn't know what runners have told
// the process before.
func (l *Ledger) ForgetStatements(router string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.leaving {
		if p.router == router {
			delete(l.leaving, p)
		}
	}
	for p := range l.turnedAway {
		if p.router == router {
			delete(l.turnedAway, p)
		}
	}
}

// RecordRestart records that a runner starts again under its id: what the process before has said
// doesn't hold any more.
func (l *Ledger) RecordRestart(runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countEvent("restarted_in_place")
	delete(l.limits, runner)
	delete(l.coldRuns, runner)
	maps.DeleteFunc(l.leaving, func(p pair, _ time.Time) bool { return p.runner == runner })
	maps.DeleteFunc(l.turnedAway, func(p pair, _ *turnedAway) bool { return p.runner == runner })
}

// checkStatements checks that the router of a request that has arrived heeds what the runner
// has told it. Faults of the router or the runner within RecoveryTime excuse it.
func (l *Ledger) checkStatements(now time.Time, runner string, q *Request) {
	p := pair{runner, q.Router}
	if !l.noFault(now.Add(-RecoveryTime), now, q.Router, runner) {
		return
	}
	if at, told := l.leaving[p]; told && q.SentAt.Sub(at) > DrainLimit {
		l.addViolation(now, "leaving", "request %s from %s reached %s %s after the runner had said that it leaves, want at most %s",
			q.ID, q.Router, runner, now.Sub(at), DrainLimit)
	}
	if t := l.turnedAway[p]; t != nil && now.After(t.from) && now.Before(t.until) {
		if t.arrivals++; t.arrivals == MaxTurnedAway+1 {
			l.addViolation(now, "turned_away", "runner %s got request %d from %s, which it had turned away for %s more, want at most %d",
				runner, t.arrivals, q.Router, t.until.Sub(now), MaxTurnedAway)
		}
	}
}
