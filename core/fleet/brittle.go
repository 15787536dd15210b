package fleet

import (
	"net/http"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/ratelimit"
	"camphorpulley.org/core/table"
)

// A brittle upstream ends if it rejects more than a number of requests in a second because it
// is full, and the others get its load. While few of its slots are taken, any router may send
// it requests. Counts of other routers are late, however: once it has rejected one, all
// routers are told at once, leave it alone until that no longer counts, and then keep to
// shares of its slots for a time.

const (
	// rejectionPause is for how long a brittle upstream that has turned a request away gets
	// none: the second in which rejections count, and a margin for messages.
	rejectionPause = 1100 * time.Millisecond
	// shareTime is for how long after that routers keep to their shares.
	shareTime = 10 * time.Second
	// freeFraction is the fraction of the slots up to which a router may send more than its
	// share.
	freeFraction = 0.5
)

// RecordRejection records that an upstream has rejected a request because it is full. It
// returns a message for all other routers if the upstream is brittle and this router didn't
// leave it alone already; else nil.
func (f *Fleet) RecordRejection(now time.Time, t Target) *Message {
	return table.Read(f.states, table.Hold{}, func(st *states) *Message {
		s := st.get(t.ID)
		if !s.said.IsBrittle(now, t.StartedMS) || now.Before(s.pausedUntil) {
			return nil
		}
		s.pauseUntil(now.Add(rejectionPause))
		full := &FullUpstream{Upstream: t.ID, Load: slotsOf(t.Upstream), PauseMS: rejectionPause.Milliseconds()}
		return &Message{FullUpstream: full}
	})
}

// pauseUntil leaves the upstream alone until a time.
func (s *state) pauseUntil(t time.Time) {
	if t.After(s.pausedUntil) {
		s.pausedUntil = t
	}
}

// crowded reports whether a brittle upstream is to get no request from this router: it has
// turned one away, or the router has its share of the slots and few others are known to be
// free.
func (c Candidate) crowded(now time.Time) bool {
	switch {
	case !c.Brittle:
		return false
	case now.Before(c.state.pausedUntil):
		return true
	case c.state.load.Local < c.slotShare:
		return false
	}
	free := int(freeFraction * float64(slotsOf(c.Upstream)))
	return now.Sub(c.state.pausedUntil) < shareTime || c.Load >= free
}

// setSlotShares sets the shares of this router, which has a rank among the routers, in the
// slots of brittle upstreams. The shares of all routers together are the slots. Where there
// are more routers than slots, other routers have none at each upstream. A share is one slot
// until the number of routers is known.
func setSlotShares(all []Candidate, routers, rank int, settled bool) {
	for i, c := range all {
		switch {
		case c.Brittle && !settled:
			all[i].slotShare = 1
		case c.Brittle:
			turn := int(uint64(chat.Key("", string(c.Upstream.ID), nil)) % uint64(routers))
			all[i].slotShare = ratelimit.Share(slotsOf(c.Upstream), routers, (rank+turn)%routers)
		}
	}
}

// brittleRefusal returns the refusal of a request that no brittle upstream of the pool has
// room for. Callers come back spread over a second.
func brittleRefusal(r Request) *core.Refusal {
	refusal := notRunRefusal(http.StatusServiceUnavailable, codeBrittle, "the upstreams of the pool have no room, and may end if they turn requests away")
	refusal.RetryAfter = spreadReturn(r.draw, retryAfter, maxSpread)
	return refusal
}
