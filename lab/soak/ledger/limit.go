package ledger

import "time"

// The bound on the requests of a runner that names a limit, as the users' documentation
// gives it.
const (
	// LimitGrace is how long after a limit was first named it may be exceeded.
	LimitGrace = 3 * time.Second
	// LimitWindow is the span within which requests are counted. Permitted are
	// LimitFactor times the limit, plus LimitSlack.
	LimitWindow = 4 * time.Second
	LimitFactor = 1.5
	LimitSlack  = 5
	// ToldTime is how long after its first response that names the limit the requests of
	// a router count.
	ToldTime = 500 * time.Millisecond
)

// limit is the limit that a runner names.
type limit struct {
	perSecond float64
	namedAt   time.Time
	// toldAt holds when each router first got a response that names the limit.
	toldAt map[string]time.Time
	// arrivals holds the times of the requests that count.
	arrivals []time.Time
}

// SetLimit records that a runner names a limit in requests per second, or no longer does
// if it is zero.
func (l *Ledger) SetLimit(now time.Time, runner string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]*limit{}
	}
	if delete(l.limits, runner); perSecond > 0 {
		l.limits[runner] = &limit{perSecond: perSecond, namedAt: now, toldAt: map[string]time.Time{}}
	}
}

// RecordArrival records that a request has reached a runner, and checks what the runner has
// said: its limit, that it leaves, that it turns the router away. Requests of routers with a
// fault within RecoveryTime don't count.
func (l *Ledger) RecordArrival(now time.Time, runner, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	named, q := l.limits[runner], l.requests[id]
	if q == nil {
		return
	}
	l.checkStatements(now, runner, q)
	if named == nil {
		return
	}
	toldAt, told := named.toldAt[q.Router]
	if !told || now.Sub(toldAt) < ToldTime || now.Sub(named.namedAt) < LimitGrace || !l.noFault(now.Add(-RecoveryTime), now, q.Router, runner) {
		return
	}
	named.arrivals = append(named.arrivals, now)
	for now.Sub(named.arrivals[0]) >= LimitWindow {
		named.arrivals = named.arrivals[1:]
	}
	most := named.perSecond*LimitFactor*LimitWindow.Seconds() + LimitSlack
	if got := len(named.arrivals); float64(got) > most {
		l.addViolation(now, "limit", "runner %s, which names a limit of %g a second, received %d requests within %s, want at most %g",
			runner, named.perSecond, got, LimitWindow, most)
		named.arrivals = nil
	}
}

// RecordLimitTold records that a router has got a response that names the limit of a
// runner.
func (l *Ledger) RecordLimitTold(now time.Time, runner, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	named, q := l.limits[runner], l.requests[id]
	if named == nil || q == nil {
		return
	}
	if _, told := named.toldAt[q.Router]; !told {
		named.toldAt[q.Router] = now
	}
}
