package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/rollout"
)

// expect chooses the conductor: the first of the routers, by rendezvous, that isn't silent.
func (c *conducting) expect(now time.Time, self core.RouterID, o rollout.Order, routers []core.RouterID, ended bool) {
	timeout := conductorTimeout
	if ended {
		timeout = endedConductorTimeout
	}
	for {
		id := c.firstOf(o, routers, self)
		if c.conductor != id {
			c.conductor, c.expectedAt = id, now
		}
		if id == self || now.Sub(later(c.expectedAt, c.heardAt[id])) <= timeout {
			return
		}
		if c.silent == nil {
			c.silent = map[core.RouterID]bool{}
		}
		c.silent[id] = true
	}
}

// firstOf returns the first of the routers, with this one, that aren't silent.
func (c *conducting) firstOf(o rollout.Order, routers []core.RouterID, self core.RouterID) core.RouterID {
	key := rolloutKey(o)
	first, best := self, chat.Score(key, string(self))
	for _, id := range routers {
		if score := chat.Score(key, string(id)); score > best && !c.silent[id] {
			first, best = id, score
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rolloutKey is the key by which routers are ranked that are to conduct a roll-out. It doesn't
// depend on the record of the order, which may be repeated.
func rolloutKey(o rollout.Order) core.Digest {
	return chat.Key("rollout", string(o.Pool)+" "+o.Target, nil)
}

// placeOf returns how many of the routers come before this one.
func placeOf(o rollout.Order, routers []core.RouterID, self core.RouterID) int {
	return rankFor(rolloutKey(o), routers, self)
}

// conducts reports whether this router decides on the roll-out. One that reaches fewer than
// half of the routers doesn't: what it sees isn't what most requests meet. Neither does one
// that may have missed how the roll-out began.
func (f *Fleet) conducts(p *poolRollout, k ticking) bool {
	if p.conduct.conductor != f.settings.ID || !k.majority || k.now.Before(p.conduct.listenUntil) {
		return false
	}
	return p.begunSeen || (p.status.read && k.now.Sub(p.knownAt) >= beginGrace)
}
