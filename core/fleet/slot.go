package fleet

import (
	"math"
	"net/http"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/dispatch"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// The slots of a pool of applications that has fewer of them than there are routers are granted
// by one router, the dispatcher. This file is the side of the routers that ask it, dispatch.go
// that of the dispatcher.

const (
	// SlotTimeout is how long a request waits for the first answer of a dispatcher: several
	// round trips between data centres of a region, and about a run time.
	SlotTimeout = 30 * time.Millisecond
	// SlotReturnDelay is the time within which slots that end are returned in one message. A
	// slot that isn't known to be free stays unused.
	SlotReturnDelay = 2 * time.Millisecond
	// maxPendingReturns bounds the slots that wait to be returned; others end with their leases.
	maxPendingReturns = 1024
)

// slots is the table of the slots that this router asks for, and of those that it grants.
type slots struct {
	pools map[core.Pool]*slotPool
	// last is the number of the last SlotRequest. It begins with the start of the process, so
	// that numbers aren't used again after a restart.
	last uint64
	// returns holds the slots that wait to be returned, by dispatcher.
	returns map[core.RouterID][]SlotReturn
}

// slotPool is a pool whose slots are granted by a dispatcher.
type slotPool struct {
	// election is which router that is, by this router's view.
	election election
	// dispatcher grants the slots if this router is asked; askedAt is when it last was.
	dispatcher dispatch.Dispatcher
	askedAt    time.Time
	// aloneUntil is until when this router doesn't ask, since the dispatcher doesn't grant the
	// slots of the pool.
	aloneUntil time.Time
	// silentAt is when a dispatcher last didn't answer.
	silentAt time.Time
}

func (t *slots) pool(p core.Pool) *slotPool {
	s := t.pools[p]
	if s == nil {
		if t.pools == nil {
			t.pools = map[core.Pool]*slotPool{}
		}
		s = &slotPool{}
		t.pools[p] = s
	}
	return s
}

// scarce reports whether the slots of a pool are granted by a dispatcher: it is a pool of
// applications that state their slots but not their load, all slots together are fewer than the
// routers, and the routers are known. Upstreams that name limits, or end if they turn requests
// away, have rules of their own.
func (f *Fleet) scarce(now time.Time, p catalog.Pool, pool []roster.Upstream) bool {
	if p.Engine != nil || len(pool) == 0 {
		return false
	}
	total := 0
	for _, u := range pool {
		if u.Slots <= 0 {
			return false
		}
		total += u.Slots
	}
	if routers, _, settled := f.membership(now); !settled || total >= routers {
		return false
	}
	return table.Read(f.states, table.Hold{}, func(st *states) bool {
		return !slices.ContainsFunc(pool, func(u roster.Upstream) bool {
			s := st.byID[u.ID]
			return s != nil && (s.load.Reported() || s.limited(now, u.StartedMS) || s.said.IsBrittle(now, u.StartedMS))
		})
	})
}

// chooseSlot selects the upstream for the next attempt of a request of a pool with a dispatcher:
// the one whose slot the request was granted. If it hasn't asked, the target holds the question.
// Decided is false if the router chooses by itself, as it does for a request that is held by an
// upstream which may still answer: that one doesn't wait for a slot.
func (f *Fleet) chooseSlot(now time.Time, r Request, eligible, pool []roster.Upstream, tried []core.UpstreamID, held bool) (t Target, refusal *core.Refusal, decided bool) {
	if held || (r.Slot.asked() && (r.Slot.Silent || r.Slot.Alone)) || !f.scarce(now, r.Pool, pool) && !r.Slot.Granted() {
		return Target{}, nil, false
	}
	if r.Slot.asked() && !r.Slot.Granted() {
		refusal = notRunRefusal(http.StatusServiceUnavailable, codeNoSlot, "the upstreams of the pool have no room in time")
		refusal.RetryAfter = time.Duration(max(r.Slot.RetryMS, 1)) * time.Millisecond
		return Target{}, refusal, true
	}
	excluded, usable := f.unusable(now, r, eligible, tried)
	if r.Slot.Granted() {
		if t, decided = f.useSlot(now, r, eligible, excluded); decided {
			return t, nil, true
		}
		excluded = append(excluded, r.Slot.Upstream)
	}
	if !usable || r.Asks >= maxAsks {
		return Target{}, nil, false
	}
	elected := f.elect(now, r.Pool.Name)
	ask := table.Read(f.slots, table.Hold{}, func(s *slots) *SlotAsk {
		if now.Before(s.pool(r.Pool.Name).aloneUntil) {
			return nil
		}
		s.last++
		return &SlotAsk{To: elected.router, Request: slotRequest(now, r, s.last, f.settings.DataCentre, excluded)}
	})
	return Target{SlotAsk: ask}, nil, ask != nil
}

// slotRequest returns the message that asks for a slot.
func slotRequest(now time.Time, r Request, number uint64, dc core.DataCentre, excluded []core.UpstreamID) SlotRequest {
	q := SlotRequest{
		Pool: r.Pool.Name, Number: number, Rank: r.Priority(), Account: r.Account.Name, DataCentre: dc, Excluded: excluded,
		DeadlineMS: max(r.Deadline.Sub(now).Milliseconds(), 1), Runs: r.RunsBefore, Stream: r.Route.Kind == catalog.Stream,
	}
	if r.Route.LatencyObjective > 0 && !r.Arrived.IsZero() {
		q.ObjectiveMS = max(r.Arrived.Add(r.Route.LatencyObjective).Sub(now).Milliseconds(), 1)
	}
	return q
}

// unusable returns the upstreams of a pool that a request must not get: it was tried there, they are
// not in service, its stream can't go on there, or this router has lost contact to them and not to
// others. Usable is false if none is left. The list holds upstreams that have left, which a dispatcher
// with older entries would grant.
func (f *Fleet) unusable(now time.Time, r Request, eligible []roster.Upstream, tried []core.UpstreamID) (excluded []core.UpstreamID, usable bool) {
	peerAge, _ := f.countAge(now)
	var left []Candidate
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		all := f.candidates(now, st, r, eligible, make([]cachedTokens, len(eligible)), peerAge)
		left = willing(now, f.settings.Drain, permitted(r, all))
	})
	if sound := slices.DeleteFunc(slices.Clone(left), func(c Candidate) bool { return c.Excluded }); len(sound) > 0 {
		left = sound
	}
	excluded = slices.Clone(tried)
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			kept := up.Pool != r.Pool.Name || slices.ContainsFunc(left, func(c Candidate) bool { return c.Upstream.ID == up.ID })
			if !kept && !slices.Contains(excluded, up.ID) {
				excluded = append(excluded, up.ID)
			}
		}
	})
	return excluded, len(left) > 0
}

// useSlot returns the target for a slot that was granted. The roster of this router, and what its
// upstreams have said to it while the request waited, is the judge of what may get the request: a
// slot of another upstream is returned.
func (f *Fleet) useSlot(now time.Time, r Request, eligible []roster.Upstream, excluded []core.UpstreamID) (Target, bool) {
	slot := Slot{Dispatcher: r.Slot.From, Pool: r.Slot.Pool, Number: r.Slot.Number}
	i := slices.IndexFunc(eligible, func(u roster.Upstream) bool { return u.ID == r.Slot.Upstream })
	if i < 0 || slices.Contains(excluded, r.Slot.Upstream) {
		f.returnSlot(slot, dispatch.Unused, 0)
		return Target{}, false
	}
	peerAge, _ := f.countAge(now)
	u := eligible[i]
	t := Target{Upstream: u, Slot: slot, ChosenAt: now, CandidateCount: len(eligible), Route: r.Route.Name, Pace: 1}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(u.ID)
		t.Load, t.Certain = s.load.Total(now, peerAge), s.doubt.Certain(now, u.StartedMS, u.Sequence)
		t.Broken = !s.broken.Certain(now, u.StartedMS, u.Sequence)
		s.load.Local++
		if u.Cold(now) {
			s.cold.Add(now)
		}
	})
	return t, true
}

// returnSlot returns a slot with the time that its request took.
func (f *Fleet) returnSlot(s Slot, o dispatch.Outcome, ran time.Duration) {
	if s.Number == 0 {
		return
	}
	f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) {
		if t.returns == nil {
			t.returns = map[core.RouterID][]SlotReturn{}
		}
		if all := t.returns[s.Dispatcher]; len(all) < maxPendingReturns {
			t.returns[s.Dispatcher] = append(all, SlotReturn{Pool: s.Pool, Number: s.Number, Outcome: int(o), RanUS: max(ran.Microseconds(), 0)})
		}
	})
}

// slotOutcome returns how an attempt has used its slot.
func slotOutcome(o health.Outcome) dispatch.Outcome {
	switch o {
	case health.Good:
		return dispatch.Answered
	case health.Shed:
		return dispatch.Rejected
	case health.Unreachable, health.Misdirected:
		return dispatch.Unreached
	}
	return dispatch.Lost
}

// ReturnGrant returns a slot that a request no longer needs, or that has come too late.
func (f *Fleet) ReturnGrant(a SlotAnswer) {
	f.returnSlot(Slot{Dispatcher: a.From, Pool: a.Pool, Number: a.Number}, dispatch.Unused, 0)
}

// returnUnusedSlot returns the slot that a request was granted and can't use, if there is one.
func (f *Fleet) returnUnusedSlot(r Request) {
	if r.Slot.Granted() {
		f.ReturnGrant(r.Slot)
	}
}

// WithdrawSlot ends the wait of a request for a slot.
func (f *Fleet) WithdrawSlot(a SlotAsk) {
	f.returnSlot(Slot{Dispatcher: a.To, Pool: a.Request.Pool, Number: a.Request.Number}, dispatch.Unused, 0)
}

// RecordSlotSilence records that a dispatcher hasn't answered. Another router is asked for the
// next requests. If that one is silent too, this router may be the one that is cut off, or the
// others are of an earlier build: it chooses by itself for silentTime.
func (f *Fleet) RecordSlotSilence(now time.Time, a SlotAsk) {
	if a.To != f.settings.ID {
		f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
			if m, ok := t.byID[a.To]; ok {
				m.silentUntil = now.Add(silentTime)
				t.byID[a.To] = m
			}
		})
	}
	f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) {
		for _, p := range t.pools {
			if p.election.router == a.To {
				p.election.until = time.Time{}
			}
		}
		p := t.pool(a.Request.Pool)
		if !p.silentAt.IsZero() && now.Sub(p.silentAt) < silentTime {
			p.aloneUntil = now.Add(silentTime)
		}
		p.silentAt = now
	})
	f.WithdrawSlot(a)
}

// applySlotGrant applies the answer to a SlotRequest. A dispatcher that doesn't grant the slots of
// the pool isn't asked for a time.
func (f *Fleet) applySlotGrant(now time.Time, from core.RouterID, g SlotGrant) Effects {
	if g.Alone {
		f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) {
			if p := t.pools[g.Pool]; p != nil {
				p.aloneUntil = now.Add(aloneTime)
			}
		})
	}
	g.WaitMS, g.RetryMS = min(max(g.WaitMS, 0), maxSlotWaitMS), min(max(g.RetryMS, 0), maxSlotWaitMS)
	return Effects{SlotAnswers: []SlotAnswer{{From: from, SlotGrant: g}}}
}

const (
	// aloneTime is for how long a router chooses by itself after the dispatcher had no slot that
	// it may grant for others, or doesn't grant those of the pool.
	aloneTime = 200 * time.Millisecond
	// maxSlotWaitMS bounds what a message from another router may state.
	maxSlotWaitMS = math.MaxInt32
)
