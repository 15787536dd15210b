package rollout

// Exposure is one router's allowance of requests to the new release for one order. The zero
// value has earned nothing. The sum over all routers stays within the limits without messages
// among them.
type Exposure struct {
	allowance float64
}

// Grant adds a router's part of the slack. It is for the routers that ran when the order came;
// rank is the router's place among them, counted from zero.
func (e *Exposure) Grant(l Limits, routers, rank int) {}

// Earn counts a request to the pool that can't go to the new release, such as one of a stream
// that the old one has begun.
func (e *Exposure) Earn(l Limits, route string) {}

// Take counts a request to the pool. It returns true if the request goes to the new release.
func (e *Exposure) Take(l Limits, route string) bool { return false }

// Return gives back a request that was taken and didn't go to the new release.
func (e *Exposure) Return(route string) {}
