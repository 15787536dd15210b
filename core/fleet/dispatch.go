package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/dispatch"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// SlotRequest asks a dispatcher for a slot of a pool.
type SlotRequest struct {
	Pool core.Pool
	// Number identifies the request among those of its router.
	Number     uint64
	Rank       int
	Account    core.Account
	DataCentre core.DataCentre
	// ObjectiveMS is what is left until the answer should be there, zero if there is no
	// objective, and DeadlineMS until the caller gives up, in milliseconds.
	ObjectiveMS, DeadlineMS int64
	// Excluded are the upstreams that must not get the request.
	Excluded []core.UpstreamID
	// Runs is how often upstreams may have run the request.
	Runs int
	// Stream is true if the answer is a stream, which takes a slot for long.
	Stream bool
}

// SlotGrant is the answer to a SlotRequest. If it has no upstream and WaitMS is zero, the request
// is refused.
type SlotGrant struct {
	Pool   core.Pool
	Number uint64
	// Upstream is the one whose slot was granted; empty if none was.
	Upstream core.UpstreamID
	// WaitMS is the time in milliseconds within which another answer follows, RetryMS that after
	// which the caller of a refused request may return.
	WaitMS, RetryMS int64
	// Alone is true if the router that was asked doesn't grant the slot, and the one that has
	// asked is to choose by itself.
	Alone bool
}

// SlotReturn returns a slot, or ends the wait for one.
type SlotReturn struct {
	Pool   core.Pool
	Number uint64
	// Outcome is a dispatch.Outcome.
	Outcome int
	// RanUS is the time from the sending of the request to the end of its answer in microseconds.
	RanUS int64
}

const (
	// electionTTL is how long the choice of a dispatcher is kept.
	electionTTL = 100 * time.Millisecond
	// takeoverGap is the time after which a router that wasn't asked for slots begins with what
	// the routers count at the upstreams.
	takeoverGap = 2 * time.Second
	// maxExcluded bounds the upstreams that a message may exclude, maxRank the rank.
	maxExcluded = 64
	maxRank     = 1000
)

// election is which router grants the slots of a pool, by one router's view.
type election struct {
	router core.RouterID
	// share is the fraction of the slots that this router grants if it is asked. It is an
	// understudy if another router grants them by its view, or the routers aren't known yet.
	share      float64
	understudy bool
	until      time.Time
}

// elect returns which router grants the slots of a pool.
func (f *Fleet) elect(now time.Time, p core.Pool) election {
	current := table.Read(f.slots, table.Hold{}, func(t *slots) election { return t.pool(p).election })
	if now.Before(current.until) {
		return current
	}
	routers, known, settled := f.reachableRouters(now)
	e := election{router: firstFor("dispatch", string(p), f.strongest(routers)), share: float64(len(routers)) / float64(known), until: now.Add(electionTTL)}
	if e.understudy = !settled || e.router != f.settings.ID; e.understudy {
		e.share = min(e.share, understudyShare)
	}
	f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) { t.pool(p).election = e })
	return e
}

// strongFraction is the fraction of the highest capacity from which on a router may be the
// dispatcher: on one that has little processor time answers come later than routers wait for them.
const strongFraction = 0.5

// strongest returns the routers whose capacity isn't far below the highest one.
func (f *Fleet) strongest(routers []core.RouterID) []core.RouterID {
	capacities := make(map[core.RouterID]int, len(routers))
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		for _, id := range routers {
			capacities[id] = t.byID[id].Capacity
		}
	})
	capacities[f.settings.ID] = f.settings.Capacity
	least := 0
	for _, c := range capacities {
		least = max(least, int(strongFraction*float64(c)))
	}
	return slices.DeleteFunc(slices.Clone(routers), func(id core.RouterID) bool { return capacities[id] < least })
}

// firstFor returns the first router by rendezvous for something of a kind.
func firstFor(kind, name string, routers []core.RouterID) core.RouterID {
	key := chat.Key(core.Account(kind), name, nil)
	first, best := core.RouterID(""), uint64(0)
	for _, r := range routers {
		if score := chat.Score(key, string(r)); first == "" || score > best {
			first, best = r, score
		}
	}
	return first
}

// rankFor returns how many of the routers come before one of them by rendezvous for a key.
func rankFor(key core.Digest, routers []core.RouterID, self core.RouterID) int {
	own, rank := chat.Score(key, string(self)), 0
	for _, id := range routers {
		if id != self && chat.Score(key, string(id)) > own {
			rank++
		}
	}
	return rank
}

// Dispatcher returns the router that grants the slots of a pool by this router's view; empty if
// none does.
func (f *Fleet) Dispatcher(now time.Time, p core.Pool) core.RouterID {
	pool, all, ok := f.slotUpstreams(now, p)
	if !ok || !f.scarce(now, pool, all) {
		return ""
	}
	return f.elect(now, p).router
}

// slotUpstreams returns a pool of the catalog in force and its upstreams without removed ones.
func (f *Fleet) slotUpstreams(now time.Time, p core.Pool) (catalog.Pool, []roster.Upstream, bool) {
	c := f.Catalog()
	if c == nil {
		return catalog.Pool{}, nil, false
	}
	pool, ok := c.Pools[p]
	if !ok {
		return catalog.Pool{}, nil, false
	}
	return pool, table.Read(f.roster, table.Hold{}, func(u *upstreams) []roster.Upstream {
		return slices.DeleteFunc(slices.Clone(u.roster.All()), func(up roster.Upstream) bool { return up.Pool != p || !up.RemovedAt.IsZero() })
	}), true
}

// receiveSlots applies a message on slots from another router, which was on its way for a number of
// milliseconds longer than others.
func (f *Fleet) receiveSlots(now time.Time, from core.RouterID, m Message, delayMS int64) Effects {
	switch {
	case m.SlotRequest != nil:
		return f.grantSlot(now, from, *m.SlotRequest, delayMS)
	case m.SlotGrant != nil:
		return f.applySlotGrant(now, from, *m.SlotGrant)
	case len(m.SlotReturns) > 0:
		return f.returnSlots(now, from, m.SlotReturns)
	}
	return Effects{}
}

// AskSlot asks for a slot. If this router is the dispatcher, it answers at once.
func (f *Fleet) AskSlot(now time.Time, a SlotAsk) Effects {
	if a.To == f.settings.ID {
		return f.grantSlot(now, a.To, a.Request, 0)
	}
	return Effects{Forward: []Envelope{{To: a.To, Message: Message{SentMS: f.uptimeMS(now), SlotRequest: &a.Request}}}}
}

// grantSlot answers a SlotRequest of a router, which was on its way for a number of milliseconds
// longer than others. The router no longer waits for the answer to one that was on its way for
// SlotTimeout.
func (f *Fleet) grantSlot(now time.Time, from core.RouterID, q SlotRequest, delayMS int64) Effects {
	if delayMS >= SlotTimeout.Milliseconds() {
		return Effects{}
	}
	alone := SlotGrant{Pool: q.Pool, Number: q.Number, Alone: true}
	pool, all, ok := f.slotUpstreams(now, q.Pool)
	if !ok || !f.scarce(now, pool, all) {
		return f.slotEffects(now, from, alone)
	}
	elected := f.elect(now, q.Pool)
	found := f.dispatchUpstreams(now, all)
	if len(found) == 0 {
		return f.slotEffects(now, from, alone)
	}
	limits := dispatch.Limits{Share: elected.share, LoadFactor: f.settings.MaxLoadFactor, ColdRate: dispatchedColdShare * pool.ColdRate}
	decisions, decided := f.decideSlot(now, q.Pool, q.request(now, from, delayMS), limits, found, elected.understudy)
	e := f.decisionEffects(now, q.Pool, decisions)
	if !decided {
		e.add(f.slotEffects(now, from, alone))
	}
	return e
}

// decideSlot returns what is decided on a request, and on others of its pool. An understudy decides
// only on requests that it has a slot for: it has few of them, and its queue says little of the
// room that there is.
func (f *Fleet) decideSlot(now time.Time, p core.Pool, r dispatch.Request, l dispatch.Limits, found []dispatch.Upstream, understudy bool) (all []dispatch.Decision, decided bool) {
	f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) {
		s := t.pool(p)
		if now.Sub(s.askedAt) > takeoverGap {
			s.dispatcher = dispatch.Dispatcher{}
		}
		s.askedAt = now
		s.dispatcher.Update(now, l, found)
		all = s.dispatcher.Ask(now, r)
		last := len(all) - 1
		if decided = !understudy || all[last].Kind == dispatch.Granted; !decided {
			all = append(all[:last], s.dispatcher.Return(now, r.Key, dispatch.Unused, 0)...)
		}
	})
	return all, decided
}

// dispatchedColdShare is the fraction of the rate of cold upstreams that a dispatcher grants; the
// other routers share the rest while they choose by themselves.
const dispatchedColdShare = 0.5

// request returns the request of a SlotRequest, within the bounds of what a message may state.
func (q SlotRequest) request(now time.Time, from core.RouterID, delayMS int64) dispatch.Request {
	left := func(ms int64) time.Time {
		return now.Add(time.Duration(min(max(ms, 0), maxSlotWaitMS)-max(delayMS, 0)) * time.Millisecond)
	}
	r := dispatch.Request{
		Key: dispatch.Key{Router: from, Number: q.Number}, Rank: min(max(q.Rank, 0), maxRank), Account: q.Account, DataCentre: q.DataCentre,
		Deadline: left(q.DeadlineMS), Excluded: q.Excluded[:min(len(q.Excluded), maxExcluded)], Runs: q.Runs, Stream: q.Stream,
	}
	if q.ObjectiveMS > 0 {
		r.Objective = left(q.ObjectiveMS)
	}
	return r
}

// dispatchUpstreams returns the upstreams of a pool that may get work.
func (f *Fleet) dispatchUpstreams(now time.Time, all []roster.Upstream) []dispatch.Upstream {
	peerAge, _ := f.countAge(now)
	var found []dispatch.Upstream
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, up := range all {
				s := st.get(up.ID)
				if !u.roster.AcceptsWork(now, up) || s.said.Leaving(up.StartedMS) {
					continue
				}
				found = append(found, dispatch.Upstream{
					ID: up.ID, DataCentre: up.DataCentre, Slots: up.Slots, Running: s.load.Total(now, peerAge), Cold: up.Cold(now),
				})
			}
		})
	})
	return found
}

// decisionEffects returns the messages that tell routers what was decided on their requests.
func (f *Fleet) decisionEffects(now time.Time, p core.Pool, all []dispatch.Decision) Effects {
	var e Effects
	for _, d := range all {
		g := SlotGrant{Pool: p, Number: d.Number, Upstream: d.Upstream}
		switch d.Kind {
		case dispatch.Queued:
			g.WaitMS = max(d.After.Milliseconds(), 1)
			e.SlotsWaiting = true
		case dispatch.Refused:
			g.RetryMS = max(d.After.Milliseconds(), 1)
		case dispatch.Granted:
		}
		e.add(f.slotEffects(now, d.Router, g))
	}
	return e
}

// slotEffects returns an answer to a router, which may be this one.
func (f *Fleet) slotEffects(now time.Time, to core.RouterID, g SlotGrant) Effects {
	if to == f.settings.ID {
		return f.applySlotGrant(now, to, g)
	}
	return Effects{Forward: []Envelope{{To: to, Message: Message{SentMS: f.uptimeMS(now), SlotGrant: &g}}}}
}

// add adds the messages, the answers and SlotsWaiting of other effects.
func (e *Effects) add(other Effects) {
	e.Forward = append(e.Forward, other.Forward...)
	e.SlotAnswers = append(e.SlotAnswers, other.SlotAnswers...)
	e.SlotsWaiting = e.SlotsWaiting || other.SlotsWaiting
}
