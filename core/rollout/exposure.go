package rollout

import "math"

const (
	// earnedShare is the part of Limits.Share that routers earn. The rest covers requests that
	// are counted twice, such as those that a router sends again after a restart.
	earnedShare = 0.8
	// grantedSlack is the part of Limits.Slack that is given out. The other half covers what
	// routers send before they hear that a release is bad.
	grantedSlack = 0.5
	// minPhaseSlack is the least slack with which a router begins with a fraction of a request.
	// The fractions of several hundred routers sum up to what they earn, give or take this.
	minPhaseSlack = 20
	// maxRoutes bounds the routes that are counted. Further ones are counted as one.
	maxRoutes = 256
)

// Exposure is one router's allowance of requests to the new release for one order. The zero
// value has earned nothing. The sum over all routers stays within the limits without messages
// among them.
type Exposure struct {
	// allowance is the number of requests that may go to the new release now.
	allowance float64
	// moving is the fraction of a request by which the new release is behind while Moving.
	moving float64
	// owed is what each route has earned less what it has sent.
	owed map[string]float64
}

// Grant adds a router's part of the slack. It is for the routers that ran when the order came,
// and for each once; rank is the router's place among them, counted from zero. Whole requests
// are given out, since a part of one would let nobody send.
func (e *Exposure) Grant(l Limits, routers, rank int) {
	if l.Share <= 0 || routers <= 0 || rank < 0 {
		return
	}
	given := int(grantedSlack * l.Slack)
	e.allowance += float64(given / routers)
	if rank < given%routers {
		e.allowance++
	}
	// Routers that get few requests would all send their first one at about the same time, long
	// after the order. Fractions that differ by router spread them and leave the mean as it is.
	if l.Slack >= minPhaseSlack {
		_, phase := math.Modf((float64(rank) + 1) * math.Phi)
		e.allowance += phase
		e.moving = phase
	}
}

// Earn counts a request to the pool that can't go to the new release, such as one of a stream
// that the old one has begun.
func (e *Exposure) Earn(l Limits, route string) {
	earned := earnedShare * max(l.Share, 0)
	e.allowance += earned
	e.owe(route, earned)
}

func (e *Exposure) owe(route string, requests float64) {
	if e.owed == nil {
		e.owed = map[string]float64{}
	}
	if _, known := e.owed[route]; !known && len(e.owed) >= maxRoutes {
		route = ""
	}
	e.owed[route] += requests
}

// Take counts a request to the pool. It returns true if the request goes to the new release:
// if one is allowed, and the route has sent no more than it has earned. Routes with few
// requests thus send their first one before frequent ones send a second one.
func (e *Exposure) Take(l Limits, route string) bool {
	if l.Share <= 0 {
		return false
	}
	e.Earn(l, route)
	owed, known := e.owed[route]
	if !known {
		owed = e.owed[""]
	}
	// The sums of what was earned are inexact by far less than this.
	const inexact = 1e-9
	if e.allowance < 1-inexact || (owed < 0 && e.allowance < 2-inexact) {
		return false
	}
	e.allowance--
	e.owe(route, -1)
	return true
}

// Return gives back a request that was taken and didn't go to the new release.
func (e *Exposure) Return(route string) {
	e.allowance++
	e.owe(route, 1)
}

// Admit counts a request to the pool and returns true if it goes to the new release by the
// state of the roll-out. fresh states whether the state is one that may still be acted on.
func (e *Exposure) Admit(l Limits, s State, fresh bool, route string) bool {
	switch {
	case !fresh || s.Stage == None || s.Stage == RolledBack:
		e.Earn(l, route)
		return false
	case s.Stage == Trying:
		return e.Take(l, route)
	case s.Stage == Moving:
		e.Earn(l, route)
		e.moving += s.Share
		if e.moving < 1 {
			return false
		}
		e.moving--
	}
	return true
}
