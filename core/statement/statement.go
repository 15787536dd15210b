// Package statement keeps what the process of an upstream says about itself in its
// answers. A statement holds for that process alone, and only until a newer one.
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
}

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

// Statement is the newest that is known of what a process of an upstream says. The zero
// value is a process that has said nothing.
type Statement struct {
	// StartedMS is the start time of the process, which identifies it, in milliseconds
	// since the Unix epoch.
	StartedMS int64
	Limit     Limit
	// HeardAt is when the answer with the statement arrived at the router that got it.
	HeardAt time.Time
	// ChangedAt is when the limit last began, changed or ended; zero if none was ever
	// named.
	ChangedAt time.Time
	// FirstAt is when the process first named a limit, as far as is known.
	FirstAt time.Time
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

// Hear records what an answer says that has just arrived from a process. It reports
// whether the limit has begun, changed or ended.
func (s *Statement) Hear(now time.Time, startedMS int64, a Answer) bool {
	if startedMS != s.StartedMS {
		if startedMS < s.StartedMS {
			return false
		}
		*s = Statement{StartedMS: startedMS}
	}
	if a.Limit.Unclear || now.Before(s.HeardAt) {
		return false
	}
	return s.update(now, a.Limit, now, now)
}

// Merge records what another router has heard. It reports whether the limit has begun,
// changed or ended.
func (s *Statement) Merge(now time.Time, o Statement) bool {
	if o.StartedMS < s.StartedMS || o.HeardAt.After(now) || now.Sub(o.HeardAt) > ttl {
		return false
	}
	if o.StartedMS > s.StartedMS {
		*s = Statement{StartedMS: o.StartedMS}
	}
	newer := o.HeardAt.Sub(s.HeardAt)
	if newer <= 0 || (newer <= echoMargin && o.Limit != s.Limit) {
		return false
	}
	return s.update(now, o.Limit, o.HeardAt, o.FirstAt)
}

// update replaces the limit.
func (s *Statement) update(now time.Time, l Limit, heardAt, firstAt time.Time) bool {
	changed := l != s.Limit
	if l.Named && (s.FirstAt.IsZero() || firstAt.Before(s.FirstAt)) {
		s.FirstAt = firstAt
	}
	s.Limit, s.HeardAt = l, heardAt
	if changed {
		s.ChangedAt = now
	}
	return changed
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
const staleAfter = time.Second

// Told reports whether other routers have to be told of the statement: it names a limit,
// or one has ended recently.
func (s Statement) Told(now time.Time) bool {
	if s.Limit.Named {
		return now.Sub(s.HeardAt) <= ttl
	}
	return !s.ChangedAt.IsZero() && now.Sub(s.ChangedAt) <= endRepeatTime
}
