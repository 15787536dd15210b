package retry

import (
	"time"

	"github.com/samber/lo"
)

// Limits bounds the retries that all routers make together within a window: Ratio
// for each request, plus Slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safetyFactor is the fraction of the limits that is used, because the windows of
// the routers and of an external observer don't begin at the same time.
const safetyFactor = 0.75

// buckets is the number of steps in which a window slides. Retries are counted over
// one step more, because the window of an external observer may begin within a
// step.
const buckets = 20

// SharedBudget is one router's part of a retry budget that all routers share. It
// needs no messages: each router may retry the ratio of its own requests plus an
// equal part of the slack. The zero value has counted nothing.
type SharedBudget struct {
	requests [buckets]int
	retries  [buckets + 1]int
	step     int64
}

// RecordRequest counts a request.
func (s *SharedBudget) RecordRequest(now time.Time, l Limits) {
	s.slide(now, l)
	s.requests[s.step%buckets]++
}

// Take counts a retry and returns true if it may be made, or returns false. routers
// is the number of routers that share the budget.
func (s *SharedBudget) Take(now time.Time, l Limits, routers int) bool {
	s.slide(now, l)
	requests, retries := lo.Sum(s.requests[:]), lo.Sum(s.retries[:])
	limit := safetyFactor * (l.Ratio*float64(requests) + l.Slack/float64(max(routers, 1)))
	if float64(retries+1) > limit {
		return false
	}
	s.retries[s.step%(buckets+1)]++
	return true
}

// slide clears the buckets between the last step and now.
func (s *SharedBudget) slide(now time.Time, l Limits) {
	width := max(l.Window/buckets, time.Millisecond)
	step := now.UnixNano() / int64(width)
	for i := max(s.step+1, step-buckets); i <= step; i++ {
		s.requests[i%buckets], s.retries[i%(buckets+1)] = 0, 0
	}
	s.step = max(s.step, step)
}
