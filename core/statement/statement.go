// Package statement keeps what the process of an upstream says about itself in its
// answers: the limit of requests that it takes, that it leaves, that it wants nothing for a
// time. A statement holds for that process alone, and only until a newer one.
package statement

import (
	"math"
	"strconv"
	"time"
)

// Answer is what one answer says about the upstream that gave it. The zero value is an
// answer that says nothing.
type Answer struct {
	Limit Limit
	// Brittle is the number of requests per second that the upstream, when it is full, can
	// reject without ending; not named if it states none.
	Brittle Limit
	// Leaving reports whether the upstream's process is about to end.
	Leaving bool
	// RetryAfter is the time for which the upstream, which has turned the request away,
	// wants nothing from this router; zero if it states none.
	RetryAfter time.Duration
}

// MaxRetryAfter is the longest time that counts for which an upstream may turn a router
// away.
const MaxRetryAfter = time.Hour

// Limit is a number of requests per second that an upstream takes from all routers
// together. The zero value is an upstream that names none.
type Limit struct {
	PerSecond float64
	// Named reports whether the upstream names a limit.
	Named bool
	// Unclear reports whether what it names is not a number of requests. It says nothing
	// then, neither a new limit nor the end of an earlier one.
	Unclear bool
}

// MaxPerSecond is the highest limit that counts, in requests per second.
const MaxPerSecond = 1e6

// NewLimit returns a limit in requests per second, at most MaxPerSecond. It is unclear if
// the number is negative, infinite or none.
func NewLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{Unclear: true}
	}
	return Limit{PerSecond: min(max(perSecond, 0), MaxPerSecond), Named: true}
}

// String returns the limit for logs: a number of requests per second, "unclear", or
// nothing if none is named.
func (l Limit) String() string {
	switch {
	case l.Unclear:
		return "unclear"
	case l.Named:
		return strconv.FormatFloat(l.PerSecond, 'g', 4, 64)
	}
	return ""
}

// minChange is the fraction by which a limit must differ from another one to count as a
// change: an upstream may name a slightly different one in each answer.
const minChange = 0.1

// differs reports whether the limit is named and the other one isn't, or the other way
// round, or whether they differ by minChange.
func (l Limit) differs(o Limit) bool {
	return l.Named != o.Named || math.Abs(l.PerSecond-o.PerSecond) > minChange*o.PerSecond
}

// Falls reports whether the limit begins, ends, or is so much lower than the other one that
// routers which don't know of it would soon exceed it.
func (l Limit) Falls(o Limit) bool {
	return l.Named != o.Named || l.PerSecond < fallFraction*o.PerSecond
}

// fallFraction is the fraction of a limit below which another one is much lower.
const fallFraction = 0.75

// Statement is the newest that is known of what a process of an upstream says. The zero
// value is a process that has said nothing.
type Statement struct {
	// StartedMS is the start time of the process, which identifies it, in milliseconds
	// since the Unix epoch.
	StartedMS int64
	Limit     Limit
	// Brittle is as in an Answer.
	Brittle Limit
	// HeardAt is when the answer with the statement arrived at the router that got it.
	HeardAt time.Time
	// ChangedAt is when the limit last began, changed or ended; zero if none was ever
	// named. Reported is the limit then.
	ChangedAt time.Time
	Reported  Limit
	// FirstAt is when the process first named a limit, as far as is known.
	FirstAt time.Time
	// LeavingAt is when the process was first heard to say that it leaves, by any router;
	// zero if it hasn't. It doesn't take that back.
	LeavingAt time.Time
	// NotBefore is until when the process wants nothing from this router, and TurnedAwayAt when it
	// last said so. Other routers aren't told of it.
	NotBefore, TurnedAwayAt time.Time
}

// entryDelay is how long the entry of a process may arrive after the process has started to answer.
const entryDelay = 3 * time.Second

// Succeed replaces what is known by what the next process of the upstream may have said before its
// entry arrived: it may be the one that turned this router away.
func (s *Statement) Succeed(now time.Time, startedMS int64) {
	next := Statement{StartedMS: startedMS}
	if now.Sub(s.TurnedAwayAt) < entryDelay {
		next.NotBefore, next.TurnedAwayAt = s.NotBefore, s.TurnedAwayAt
	}
	*s = next
}

// Change tells what an answer or a report has changed in a statement.
type Change struct {
	// LimitChanged is true if the limit has begun or ended, or differs by minChange or more
	// from the one at the change before.
	LimitChanged bool
	// BrittleChanged is true if the process has become brittle, or no longer is.
	BrittleChanged bool
	// BeganLeaving is true if the process is now known to leave.
	BeganLeaving bool
}

const (
	// ttl is how long a limit counts after the last answer that named it.
	ttl = time.Minute
	// echoMargin is by how much a statement that another router passes on must be newer
	// than the one that it replaces: its age leaves out the time on the way, so that the
	// echo of an older one may seem the newer.
	echoMargin = 50 * time.Millisecond
	// endRepeatTime is for how long routers tell each other that a limit has ended.
	endRepeatTime = 5 * time.Second
)

// Hear records what an answer says that has just arrived from a process. An answer of an
// earlier process than the one that is known says nothing.
func (s *Statement) Hear(now time.Time, startedMS int64, a Answer) Change {
	if startedMS != s.StartedMS {
		if startedMS < s.StartedMS {
			return Change{}
		}
		s.Succeed(now, startedMS)
	}
	if a.RetryAfter > 0 {
		s.TurnedAwayAt = now
		if until := now.Add(min(a.RetryAfter, MaxRetryAfter)); until.After(s.NotBefore) {
			s.NotBefore = until
		}
	}
	var c Change
	if a.Leaving && s.LeavingAt.IsZero() {
		s.LeavingAt, c.BeganLeaving = now, true
	}
	switch {
	case now.Before(s.HeardAt):
	case a.Limit.Unclear:
		s.HeardAt = now
	default:
		c.LimitChanged = s.update(now, a.Limit, now, now)
		c.BrittleChanged = s.updateBrittle(now, a.Brittle)
	}
	return c
}

// Merge records what another router has heard.
func (s *Statement) Merge(now time.Time, o Statement) Change {
	if o.StartedMS < s.StartedMS || o.HeardAt.After(now) || now.Sub(o.HeardAt) > ttl {
		return Change{}
	}
	if o.StartedMS > s.StartedMS {
		s.Succeed(now, o.StartedMS)
	}
	var c Change
	if !o.LeavingAt.IsZero() && s.LeavingAt.IsZero() {
		s.LeavingAt, c.BeganLeaving = o.LeavingAt, true
	}
	if o.Limit.Named && !s.FirstAt.IsZero() && o.FirstAt.Before(s.FirstAt) {
		// This router has heard of the limit later than others.
		s.FirstAt = o.FirstAt
	}
	newer := o.HeardAt.Sub(s.HeardAt)
	if newer > 0 && (newer > echoMargin || (o.Limit == s.Limit && o.Brittle == s.Brittle)) {
		c.LimitChanged = s.update(now, o.Limit, o.HeardAt, o.FirstAt)
		c.BrittleChanged = s.updateBrittle(now, o.Brittle)
	}
	return c
}

// Leaving reports whether a process has said that it leaves.
func (s Statement) Leaving(startedMS int64) bool {
	return s.StartedMS == startedMS && !s.LeavingAt.IsZero()
}

// TurnedAwayFor returns for how long a process wants nothing from this router.
func (s Statement) TurnedAwayFor(now time.Time, startedMS int64) time.Duration {
	if s.StartedMS != startedMS {
		return 0
	}
	return max(s.NotBefore.Sub(now), 0)
}

// update replaces the limit.
func (s *Statement) update(now time.Time, l Limit, heardAt, firstAt time.Time) bool {
	changed := l.differs(s.Reported)
	if l.Named && (s.FirstAt.IsZero() || firstAt.Before(s.FirstAt)) {
		s.FirstAt = firstAt
	}
	s.Limit, s.HeardAt = l, heardAt
	if changed {
		s.ChangedAt, s.Reported = now, l
	}
	return changed
}

// updateBrittle replaces the number of requests that the process can turn away, and reports
// whether it has become brittle or no longer is.
func (s *Statement) updateBrittle(now time.Time, b Limit) bool {
	if b.Unclear {
		return false
	}
	changed := b.Named != s.Brittle.Named
	if s.Brittle = b; changed {
		s.ChangedAt = now
	}
	return changed
}

// IsBrittle reports whether a process ends if it turns too many requests away.
func (s Statement) IsBrittle(now time.Time, startedMS int64) bool {
	return s.Brittle.Named && s.StartedMS == startedMS && now.Sub(s.HeardAt) <= ttl
}

// Limited reports whether a process keeps to a limit: it is the one that has named it,
// and ttl is not over.
func (s Statement) Limited(now time.Time, startedMS int64) bool {
	return s.Limit.Named && s.StartedMS == startedMS && now.Sub(s.HeardAt) <= ttl
}

// Rate returns the requests per second that all routers together may send. Within ramp
// after the process has first named a limit they may send more, up to rampFactor times as
// many at first, so that the work moves to other upstreams step by step.
func (s Statement) Rate(now time.Time, ramp time.Duration) float64 {
	age := now.Sub(s.FirstAt)
	if age >= ramp {
		return s.Limit.PerSecond
	}
	return s.Limit.PerSecond * (1 + (rampFactor-1)*(1-float64(max(age, 0))/float64(ramp)))
}

// Begins reports whether the ramp of the limit is not over.
func (s Statement) Begins(now time.Time, ramp time.Duration) bool {
	return s.Limit.Named && now.Sub(s.FirstAt) < ramp
}

// rampFactor is how many times the limit may be exceeded when it is first named.
const rampFactor = 3

// Stale reports whether the statement is so old that it needs another answer: the limit
// may have ended, and no request may have gone there since.
func (s Statement) Stale(now time.Time) bool { return now.Sub(s.HeardAt) > staleAfter }

// staleAfter is the age at which a statement is stale.
const staleAfter = 3 * time.Second

// Told reports whether other routers have to be told of the statement: the process leaves,
// names a limit, or no longer does since a short time.
func (s Statement) Told(now time.Time) bool {
	if s.Limit.Named || s.Brittle.Named || !s.LeavingAt.IsZero() {
		return now.Sub(s.HeardAt) <= ttl
	}
	return !s.ChangedAt.IsZero() && now.Sub(s.ChangedAt) <= endRepeatTime
}
