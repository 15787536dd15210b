package health

import (
	"time"

	"camphorpulley.org/core"
)

const (
	// leastLost is how many upstreams of a data centre must be lost, with no sign
	// of life from any there in between, for the way to it to be taken for cut.
	leastLost = 2
	// cutAge is how long after the last loss a cut is assumed: a little longer
	// than the longest time between two tries.
	cutAge = longestRest + longestRest/4
)

// Centre is what one router knows of the way to a data centre. A cut takes away
// all upstreams there at once, so that not each of them has to be tried. The zero
// value is a data centre that can be reached.
type Centre struct {
	lost map[core.UpstreamID]bool
	// losses counts the losses of contact since the last sign of life; at is when
	// the last one was seen.
	losses int
	at     time.Time
}

// Lost takes in that contact to an upstream was lost.
func (c *Centre) Lost(now time.Time, id core.UpstreamID) {
	if c.lost == nil {
		c.lost = map[core.UpstreamID]bool{}
	}
	c.lost[id] = true
	c.losses++
	c.at = now
}

// Alive takes in that something came from an upstream.
func (c *Centre) Alive() {
	clear(c.lost)
	c.losses = 0
}

// Cut reports whether the way to the data centre is taken for cut.
func (c *Centre) Cut(now time.Time) bool {
	return len(c.lost) >= leastLost && now.Sub(c.at) < cutAge
}

// Resting reports whether no upstream of the data centre is tried now. Between
// rests, which grow longer, some are.
func (c *Centre) Resting(now time.Time) bool {
	return c.Cut(now) && now.Sub(c.at) < rest(c.losses-leastLost+1)
}
