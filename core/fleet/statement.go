package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/statement"
	"camphorpulley.org/core/table"
)

// StatementReport is what a router knows of what an upstream's process says about itself.
// All are told at once, and snapshots, digests and now and then heartbeats repeat it, so that
// all routers act on what one of them has heard.
type StatementReport struct {
	Upstream core.UpstreamID
	// StartedMS identifies the process, as in its entry.
	StartedMS int64
	// Named reports whether the process names a limit, PerSecond requests per second.
	Named     bool
	PerSecond float64
	// Leaving reports whether the process has said that it leaves.
	Leaving bool
	// AgeMS is the time since the answer that said so, FirstAgeMS that since the process
	// first named a limit, in milliseconds.
	AgeMS      int64
	FirstAgeMS int64
	// Brittle reports whether the process ends if it turns away more than Rejections
	// requests in a second.
	Brittle    bool
	Rejections float64
}

// StatementChange is what an upstream has begun to say about itself, has changed, or no
// longer says.
type StatementChange struct {
	statement.Change
	Upstream core.UpstreamID
	// Limit and Brittle are what it names now.
	Limit   statement.Limit
	Brittle statement.Limit
}

// StatementEffects are the effects of what an upstream has said in an answer.
type StatementEffects struct {
	// Notify is a message for all other routers; nil if there is none.
	Notify *Message
	// Changes is empty if the upstream says what it said before.
	Changes []StatementChange
}

// statementNotifyInterval is the shortest time between two messages to all routers that an
// upstream has lowered its limit. Heartbeats tell of what comes in between, and of limits
// that have risen.
const statementNotifyInterval = 100 * time.Millisecond

// RecordStatement records what an upstream says about itself in an answer that has just
// arrived.
func (f *Fleet) RecordStatement(now time.Time, t Target, a statement.Answer) StatementEffects {
	var e StatementEffects
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(t.ID)
		before := s.said.Reported
		change := s.said.Hear(now, t.StartedMS, a)
		s.heardItself = true
		if change == (statement.Change{}) {
			return
		}
		e.Changes = []StatementChange{{Change: change, Upstream: t.ID, Limit: s.said.Limit, Brittle: s.said.Brittle}}
		began := change.BeganLeaving || change.BrittleChanged || before.Named != s.said.Limit.Named
		if began || (s.said.Limit.Falls(before) && now.Sub(s.statementNotifiedAt) >= statementNotifyInterval) {
			s.statementNotifiedAt = now
			e.Notify = &Message{Statements: []StatementReport{statementReport(now, t.ID, s.said)}}
		}
	})
	return e
}

// maxReportAgeMS bounds the ages that a report may state.
const maxReportAgeMS = int64(24 * time.Hour / time.Millisecond)

// statementReport returns a statement for other routers.
func statementReport(now time.Time, id core.UpstreamID, s statement.Statement) StatementReport {
	return StatementReport{
		Upstream: id, StartedMS: s.StartedMS, Leaving: !s.LeavingAt.IsZero(), Named: s.Limit.Named, PerSecond: s.Limit.PerSecond,
		AgeMS: max(now.Sub(s.HeardAt).Milliseconds(), 0), FirstAgeMS: max(now.Sub(s.FirstAt).Milliseconds(), 0),
		Brittle: s.Brittle.Named, Rejections: s.Brittle.PerSecond,
	}
}

// statement returns the report as it was at its arrival.
func (r StatementReport) statement(now time.Time) statement.Statement {
	s := statement.Statement{StartedMS: r.StartedMS, HeardAt: agoMS(now, r.AgeMS), FirstAt: agoMS(now, r.FirstAgeMS)}
	if r.Leaving {
		s.LeavingAt = s.HeardAt
	}
	if r.Named {
		s.Limit = statement.NewLimit(r.PerSecond)
	}
	if r.Brittle {
		s.Brittle = statement.NewLimit(r.Rejections)
	}
	return s
}

const (
	// relayRepeatInterval is the time between two heartbeats of a relay with the same
	// statement, for routers that have missed the message about it.
	relayRepeatInterval = time.Second
	// hearerRepeatInterval is that of any other router that gets answers of the upstream,
	// so that the relay knows that the statement still holds.
	hearerRepeatInterval = 10 * time.Second
)

// statementReports returns what other routers have to know of what upstreams say.
func (f *Fleet) statementReports(now time.Time) []StatementReport {
	return f.reportsOf(now, func(*state) bool { return true })
}

// repeatedStatements returns the reports that the next heartbeat repeats.
func (f *Fleet) repeatedStatements(now time.Time) []StatementReport {
	relay := f.isRelay(now)
	return f.reportsOf(now, func(s *state) bool {
		age := now.Sub(s.statementRepeatedAt)
		if age < relayRepeatInterval || (!relay && (!s.heardItself || age < hearerRepeatInterval)) {
			return false
		}
		s.statementRepeatedAt, s.heardItself = now, false
		return true
	})
}

// reportsOf returns the reports that other routers have to know, of the upstreams for which
// wanted returns true.
func (f *Fleet) reportsOf(now time.Time, wanted func(*state) bool) []StatementReport {
	return table.Read(f.states, table.Hold{}, func(st *states) []StatementReport {
		var all []StatementReport
		for id, s := range st.byID {
			if s.said.Told(now) && wanted(s) {
				all = append(all, statementReport(now, id, s.said))
			}
		}
		return all
	})
}

// mergeStatements records what another router knows of what upstreams say, of those that
// this one knows. The message was delayed by delayMS on its way.
func (f *Fleet) mergeStatements(now time.Time, all []StatementReport, delayMS int64) []StatementChange {
	if len(all) == 0 {
		return nil
	}
	var changes []StatementChange
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, r := range all {
				r.AgeMS = min(max(r.AgeMS, 0), maxReportAgeMS) + delayMS
				r.FirstAgeMS = min(max(r.FirstAgeMS, 0), maxReportAgeMS) + delayMS
				reported := r.statement(now)
				if _, known := u.roster.Get(r.Upstream); !known || reported.Limit.Unclear {
					continue
				}
				s := st.get(r.Upstream)
				if change := s.said.Merge(now, reported); change != (statement.Change{}) {
					changes = append(changes, StatementChange{Change: change, Upstream: r.Upstream, Limit: s.said.Limit, Brittle: s.said.Brittle})
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

// willing returns the candidates without those that want no request: they have turned this
// router away for a time, are brittle and crowded, or leave. If nothing else is left, one that leaves gets requests
// for lastResortFraction of the drain time after it was first heard to say so.
func willing(now time.Time, drain time.Duration, all []Candidate) []Candidate {
	if !slices.ContainsFunc(all, func(c Candidate) bool { return c.Leaving || c.TurnedAwayFor > 0 || c.crowded(now) }) {
		return all
	}
	wanted := func(lastResort bool) []Candidate {
		return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool {
			leaving := c.Leaving && (!lastResort || now.Sub(c.state.said.LeavingAt) > time.Duration(lastResortFraction*float64(drain)))
			return c.TurnedAwayFor > 0 || c.crowded(now) || leaving
		})
	}
	if kept := wanted(false); len(kept) > 0 {
		return kept
	}
	return wanted(true)
}

// lastResortFraction is the fraction of the drain time within which a leaving upstream still
// gets requests if there is no other: the rest is for those that are on their way.
const lastResortFraction = 0.5
