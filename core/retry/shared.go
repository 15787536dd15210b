package retry

import (
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core/ratelimit"
)

// Limits bounds the retries that all routers make together within a window.
type Limits struct {
	// Ratio is the number of retries permitted for each request.
	Ratio float64
	// Slack is the number permitted in addition, whatever the number of requests.
	Slack  float64
	Window time.Duration
}

// safetyFactor is the fraction of the limits that is used, because the windows of
// the routers and of an external observer don't begin at the same time.
const safetyFactor = 0.75

// stepCount is the number of steps in which a window slides. Retries are counted over
// one step more, because the window of an external observer may begin within a step.
const stepCount = 20

// Share is what a router knows of its part of a budget. The zero value has no part of the slack.
type Share struct {
	// Routers is the number of routers that share the budget; zero while it isn't known.
	Routers int
	// RestartedAt is when the router's process started, if an earlier one may have made
	// retries; zero if there was none.
	RestartedAt time.Time
}

// limit returns the number of retries that a router may make within a window in which it got
// a number of requests.
//
// The earlier process of a router may have used safetyFactor of its part in the window that
// still counts. Until that window is over the process that took its place, and any that takes
// the place of that one, use the rest alone: of the ratio of their own requests, and of the
// slack as much as accrues while they run.
func (p Share) limit(now time.Time, l Limits, requests int) float64 {
	ratio, slack := l.Ratio*float64(requests), 0.0
	if p.Routers > 0 {
		slack = l.Slack / float64(p.Routers)
	}
	counted := l.Window + l.Window/stepCount
	if age := now.Sub(p.RestartedAt); !p.RestartedAt.IsZero() && age < counted {
		return (1 - safetyFactor) * (ratio + slack*max(age.Seconds()/counted.Seconds(), 0))
	}
	return safetyFactor * (ratio + slack)
}

// SharedBudget is one router's part of a retry budget that all routers share. It
// needs no messages: each router may retry the ratio of its own requests plus an
// equal part of the slack. The zero value has counted nothing.
type SharedBudget struct {
	requests [stepCount]int
	retries  [stepCount + 1]int
	step     int64
	// steps numbers the steps. By the time of day, a jump ahead would drop retries that are
	// still within the window of an external observer.
	steps ratelimit.Steps
}

// RecordRequest counts a request.
func (s *SharedBudget) RecordRequest(now time.Time, l Limits) {
	s.slide(now, l)
	s.requests[s.step%stepCount]++
}

// Permits reports whether a retry may be made.
func (s *SharedBudget) Permits(now time.Time, l Limits, p Share) bool {
	s.slide(now, l)
	requests, retries := lo.Sum(s.requests[:]), lo.Sum(s.retries[:])
	return float64(retries+1) <= p.limit(now, l, requests)
}

// Take is like Permits, and counts the retry if it may be made.
func (s *SharedBudget) Take(now time.Time, l Limits, p Share) bool {
	if !s.Permits(now, l, p) {
		return false
	}
	s.retries[s.step%(stepCount+1)]++
	return true
}

// slide makes the step of now the newest one, unless it is older, and clears the
// counts that have left the window.
func (s *SharedBudget) slide(now time.Time, l Limits) {
	width := max(l.Window/stepCount, time.Millisecond)
	step := s.steps.At(now, width)
	for i := max(s.step+1, step-stepCount); i <= step; i++ {
		s.requests[i%stepCount], s.retries[i%(stepCount+1)] = 0, 0
	}
	s.step = max(s.step, step)
}
