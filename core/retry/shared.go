package retry

import (
	"time"

	"github.com/samber/lo"
)

// Terms bound the attempts beyond the first that all routers make together
// within a window: Ratio for each request, and Slack besides.
type Terms struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// caution is the part of the terms that is used: the windows of the routers
// and of whoever counts don't begin together.
const caution = 0.75

// buckets is the number of steps in which a window slides. Retries are counted
// over one step more: the window of whoever counts may begin within a step.
const buckets = 20

// Shared is one router's part of a budget that all routers share. It needs no
// messages: each router spends the ratio of its own requests and its part of
// the slack. The zero value is empty.
type Shared struct {
	requests [buckets]int
	retries  [buckets + 1]int
	step     int64
}

// Request counts a request.
func (s *Shared) Request(now time.Time, t Terms) {
	s.slide(now, t)
	s.requests[s.step%buckets]++
}

// Take reports whether one more attempt may be made, and counts it. Routers is
// how many share the budget.
func (s *Shared) Take(now time.Time, t Terms, routers int) bool {
	s.slide(now, t)
	requests, retries := lo.Sum(s.requests[:]), lo.Sum(s.retries[:])
	room := caution * (t.Ratio*float64(requests) + t.Slack/float64(max(routers, 1)))
	if float64(retries+1) > room {
		return false
	}
	s.retries[s.step%(buckets+1)]++
	return true
}

func (s *Shared) slide(now time.Time, t Terms) {
	width := max(t.Window/buckets, time.Millisecond)
	step := now.UnixNano() / int64(width)
	for i := max(s.step+1, step-buckets); i <= step; i++ {
		s.requests[i%buckets], s.retries[i%(buckets+1)] = 0, 0
	}
	s.step = max(s.step, step)
}
