package ledger

import (
	"fmt"
	"maps"
	"time"
)

// Step is something that a runner has done with a request, for traces.
type Step struct {
	At           time.Time
	Runner, Conn string
	Event        string
}

// String returns the step for a trace.
func (s Step) String() string {
	return fmt.Sprintf("%s runner=%s event=%s conn=%s", s.At.Format("15:04:05.000000"), s.Runner, s.Event, s.Conn)
}

func (q *Request) addStep(s Step) { q.steps = append(q.steps, s) }

// addRunViolation adds a violation of a guarantee about the runs of a request.
func (l *Ledger) addRunViolation(now time.Time, q *Request, guarantee, format string, args ...any) {
	l.addViolation(now, guarantee, format, args...)
	l.violations[len(l.violations)-1].request = q
}

// RecordRefused records that a runner refuses a request with a status, without running it.
func (l *Ledger) RecordRefused(now time.Time, runner, conn, id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.requests[id]; q != nil {
		q.addStep(Step{At: now, Runner: runner, Conn: conn, Event: fmt.Sprintf("refused_%d", status)})
		l.countEvent(fmt.Sprintf("refused_%d", status))
	}
}

// Copy is a refusal that a runner sends once more.
type Copy struct {
	Runner, Conn string
	// Refused is the request that was refused, Next the one whose response is due on the
	// connection; empty if none is.
	Refused, Next string
}

// RecordCopy records that a runner sends a refusal once more, and counts the copies that the
// refused request itself meets.
func (l *Ledger) RecordCopy(now time.Time, c Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countEvent("copies")
	if c.Next == c.Refused {
		l.countEvent("copies_met_again")
	}
	if q := l.requests[c.Next]; q != nil {
		q.addStep(Step{At: now, Runner: c.Runner, Conn: c.Conn, Event: "copy_of_refusal_of_" + c.Refused})
	}
}

// CountEvent counts something that the soak has played.
func (l *Ledger) CountEvent(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countEvent(event)
}

func (l *Ledger) countEvent(event string) {
	if l.events == nil {
		l.events = map[string]int{}
	}
	l.events[event]++
}

// Events returns how often the soak has played what CountEvent and RecordCopy count.
func (l *Ledger) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
