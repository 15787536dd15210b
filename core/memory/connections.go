package memory

import "time"

// Connections bounds the number of callers' connections. K identifies one. The zero value
// permits none.
type Connections[K comparable] struct {
	// Max is the largest number of connections.
	Max int
	// idleSince is since when each connection has no request; zero while it has one.
	idleSince map[K]time.Time
}

// Len returns the number of connections.
func (c *Connections[K]) Len() int { return len(c.idleSince) }

// Add adds a connection without a request. If there are too many, it returns the one to close
// in its place: the one that has had no request for the longest time, or the new one if all
// others have one.
func (c *Connections[K]) Add(now time.Time, k K) (closing K, tooMany bool) {
	if c.idleSince == nil {
		c.idleSince = map[K]time.Time{}
	}
	c.idleSince[k] = now
	if len(c.idleSince) <= c.Max {
		return closing, false
	}
	closing = k
	oldest := now
	for other, since := range c.idleSince {
		if !since.IsZero() && since.Before(oldest) {
			closing, oldest = other, since
		}
	}
	delete(c.idleSince, closing)
	return closing, true
}

// SetBusy records that a connection has a request.
func (c *Connections[K]) SetBusy(k K) {
	if _, ok := c.idleSince[k]; ok {
		c.idleSince[k] = time.Time{}
	}
}

// SetIdle records that a connection has none any more.
func (c *Connections[K]) SetIdle(now time.Time, k K) {
	if _, ok := c.idleSince[k]; ok {
		c.idleSince[k] = now
	}
}

// Remove removes a connection that was closed.
func (c *Connections[K]) Remove(k K) { delete(c.idleSince, k) }
