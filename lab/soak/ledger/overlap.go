package ledger

import (
	"slices"
	"time"
)

// OverlapLimit is how long after a request that may be repeated has started at another runner
// the runner before may still work on it.
const OverlapLimit = 400 * time.Millisecond

// period is the time in which a runner works on a request. The time to is zero while it does.
type period struct {
	runner   string
	from, to time.Time
}

// addRun adds a run to those of its request. It counts those that aren't the first, and those
// that start while another runner still works on the request.
func (l *Ledger) addRun(q *Request, r Run) {
	if len(q.runs) > 0 {
		l.countEvent("run_again")
	}
	if slices.ContainsFunc(q.runs, func(p period) bool { return p.to.IsZero() && p.runner != r.Runner }) {
		l.countEvent("started_beside")
	}
	q.runs = append(q.runs, period{runner: r.Runner, from: r.At})
	q.addStep(Step{At: r.At, Runner: r.Runner, Conn: r.Conn, Event: "run"})
}

// RecordRunEnd records that a runner no longer works on a request, and checks that it has
// ended in time if the request has started at another runner since.
func (l *Ledger) RecordRunEnd(now time.Time, runner, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		return
	}
	q.addStep(Step{At: now, Runner: runner, Event: "run_end"})
	for i := range q.runs {
		if p := &q.runs[i]; p.runner == runner && p.to.IsZero() {
			p.to = now
			l.checkOverlap(q, i)
			return
		}
	}
}

// CheckUnended checks the runs that haven't ended as if they did now.
func (l *Ledger) CheckUnended(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.requests {
		for i := range q.runs {
			if p := &q.runs[i]; p.to.IsZero() {
				p.to = now
				l.checkOverlap(q, i)
			}
		}
	}
}

// checkOverlap checks a run that has ended against the later ones of the request at other
// runners. A router that was out of touch with the runner, by a fault of either within
// RecoveryTime, could not end it.
func (l *Ledger) checkOverlap(q *Request, ended int) {
	before := q.runs[ended]
	for _, next := range q.runs[ended+1:] {
		over := before.to.Sub(next.from)
		if !q.Kind.Repeatable() || next.runner == before.runner || over <= OverlapLimit {
			continue
		}
		if l.inTouch(next.from.Add(-RecoveryTime), next.from.Add(OverlapLimit), q.Router, before.runner) {
			l.addRunViolation(before.to, q, "ran_beside", "request %s from %s, which started at %s, was still worked on by %s %s later, want at most %s",
				q.ID, q.Router, next.runner, before.runner, over, OverlapLimit)
			return
		}
	}
}
