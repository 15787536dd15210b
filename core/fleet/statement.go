package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/statement"
	"camphorpulley.org/core/table"
)

// StatementReport is what a router knows of the limit of an upstream's process. Heartbeats
// and digests hold those that count, so that all routers keep to a limit that one of them
// has heard of.
type StatementReport struct {
	Upstream core.UpstreamID
	// StartedMS identifies the process, as in its entry.
	StartedMS int64
	// Named reports whether the process names a limit, PerSecond requests per second.
	Named     bool
	PerSecond float64
	// AgeMS is the time since the answer that said so, FirstAgeMS that since the process
	// first named a limit, in milliseconds.
	AgeMS      int64
	FirstAgeMS int64
}

// StatementChange is a limit that an upstream has begun to name, has changed, or no longer
// names.
type StatementChange struct {
	Upstream core.UpstreamID
	Limit    statement.Limit
}

// StatementEffects are the effects of what an upstream has said in an answer.
type StatementEffects struct {
	// Notify is a message for all other routers; nil if there is none.
	Notify *Message
	// Changes is empty if the limit is as before.
	Changes []StatementChange
}

// statementNotifyInterval is the shortest time between two messages to all routers that an
// upstream has changed its limit. The next heartbeat tells of what comes in between.
const statementNotifyInterval = 100 * time.Millisecond

// RecordStatement records what an upstream says about itself in an answer that has just
// arrived.
func (f *Fleet) RecordStatement(now time.Time, t Target, a statement.Answer) StatementEffects {
	var e StatementEffects
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(t.ID)
		before := s.said.Limit
		if !s.said.Hear(now, t.StartedMS, a) {
			return
		}
		e.Changes = []StatementChange{{Upstream: t.ID, Limit: s.said.Limit}}
		if before.Named != s.said.Limit.Named || now.Sub(s.statementNotifiedAt) >= statementNotifyInterval {
			s.statementNotifiedAt = now
			e.Notify = &Message{Statements: []StatementReport{statementReport(now, t.ID, s.said)}}
		}
	})
	return e
}

// statementReport returns a statement for other routers.
func statementReport(now time.Time, id core.UpstreamID, s statement.Statement) StatementReport {
	return StatementReport{
		Upstream: id, StartedMS: s.StartedMS, Named: s.Limit.Named, PerSecond: s.Limit.PerSecond,
		AgeMS: now.Sub(s.HeardAt).Milliseconds(), FirstAgeMS: max(now.Sub(s.FirstAt).Milliseconds(), 0),
	}
}

// statement returns the report as it was at its arrival.
func (r StatementReport) statement(now time.Time) statement.Statement {
	s := statement.Statement{StartedMS: r.StartedMS, HeardAt: agoMS(now, r.AgeMS), FirstAt: agoMS(now, r.FirstAgeMS)}
	if r.Named {
		s.Limit = statement.NewLimit(r.PerSecond)
	}
	return s
}

// statementReports returns what other routers have to know of limits.
func (f *Fleet) statementReports(now time.Time) []StatementReport {
	return table.Read(f.states, table.Hold{}, func(st *states) []StatementReport {
		var all []StatementReport
		for id, s := range st.byID {
			if s.said.Told(now) {
				all = append(all, statementReport(now, id, s.said))
			}
		}
		return all
	})
}

// mergeStatements records the limits that another router knows, of upstreams that this one
// knows. The message was delayed by delayMS on its way.
func (f *Fleet) mergeStatements(now time.Time, all []StatementReport, delayMS int64) []StatementChange {
	if len(all) == 0 {
		return nil
	}
	var changes []StatementChange
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, r := range all {
				r.AgeMS = max(r.AgeMS, 0) + delayMS
				reported := r.statement(now)
				if _, known := u.roster.Get(r.Upstream); !known || reported.Limit.Unclear {
					continue
				}
				if s := st.get(r.Upstream); s.said.Merge(now, reported) {
					changes = append(changes, StatementChange{Upstream: r.Upstream, Limit: s.said.Limit})
				}
			}
		})
	})
	return changes
}

// LimitedUpstreams returns the number of upstreams that name a limit.
func (f *Fleet) LimitedUpstreams(now time.Time) int {
	return table.Read(f.states, table.Hold{}, func(st *states) int {
		n := 0
		for _, s := range st.byID {
			if s.said.Limited(now, s.said.StartedMS) {
				n++
			}
		}
		return n
	})
}
