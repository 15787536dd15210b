package fleet

import (
	"net/http"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// A router may lose its links to the upstreams alone, while callers, the store and other
// routers still reach it. It then sends requests to a helper, another router, which handles
// them as if its own callers had sent them. A request takes one such detour at most at a
// time, and none from a helper.

const (
	// maxHelpers is how many helpers a request is sent to at most: each of them may turn it
	// away.
	maxHelpers = 3
	// minUnreached is the number of upstreams that a request couldn't be sent to, after
	// which it takes a detour.
	minUnreached = 2
	// probeInterval is the time between two connections that a router opens to a pool from
	// which it is cut off.
	probeInterval = 250 * time.Millisecond
	// askInterval is the time between two questions to a router of another data centre whether it
	// lives: several of them fit into relayTimeout.
	askInterval = 400 * time.Millisecond
	// ProbeTimeout bounds the opening of such a connection.
	ProbeTimeout = maxConnectTimeout
)

// Detours is what a request has tried of upstreams and helpers. The zero value is a request
// that was sent nowhere.
type Detours struct {
	// Unreached is the number of upstreams that couldn't be reached.
	Unreached int
	// Helpers are the helpers that it was sent to.
	Helpers []core.RouterID
}

// lostContact reports whether this router's own requests have failed to reach the upstream
// since its last response.
func (s *state) lostContact(now time.Time) bool { return s.ejectedLocally && s.unreachable(now) }

// CutOff reports whether this router can reach none of the upstreams that may get the
// request. It isn't cut off if there are none.
func (f *Fleet) CutOff(now time.Time, r Request) bool {
	return f.cutOff(now, func(u roster.Upstream) bool { return u.Pool == r.Pool.Name && f.regionAllowed(r, u) })
}

// cutOff reports whether the router has lost contact to all upstreams that may get work and
// for which wanted returns true.
func (f *Fleet) cutOff(now time.Time, wanted func(roster.Upstream) bool) bool {
	lost := false
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, up := range u.roster.All() {
				if !wanted(up) || !u.roster.AcceptsWork(now, up) {
					continue
				}
				if lost = st.get(up.ID).lostContact(now) || st.reach(up.DataCentre).Partitioned(now); !lost {
					return
				}
			}
		})
	})
	return lost
}

// inDoubt reports whether the stream of a request could go on at some upstreams, but each of
// them is in doubt here. Other routers may not have lost contact to them.
func (f *Fleet) inDoubt(now time.Time, r Request) bool {
	if !r.Origin.Begun {
		return false
	}
	eligible, _ := f.eligible(now, r, nil)
	return table.Read(f.states, table.Hold{}, func(st *states) bool {
		doubted := false
		for _, u := range eligible {
			switch {
			case !r.Origin.Permits(u.Release, true):
			case st.get(u.ID).doubt.Certain(now, u.StartedMS, u.Sequence):
				return false
			default:
				doubted = true
			}
		}
		return doubted
	})
}

// ChooseHelper returns the router to which a request is sent in place of an upstream, or
// false if it is to be sent to an upstream: the router reaches some, the request has come
// from another router, or there is no helper left. Helpers in the same data centre come
// first. As the body reaches them, the regions of route and account bind helpers too.
func (f *Fleet) ChooseHelper(now time.Time, r Request, d Detours) (Member, bool) {
	if r.Relayed || len(d.Helpers) >= maxHelpers || (d.Unreached < minUnreached && !f.CutOff(now, r) && !f.inDoubt(now, r)) {
		return Member{}, false
	}
	best := table.Read(f.members, table.Hold{}, func(t *members) member {
		var best member
		for id, m := range t.byID {
			reachable := m.reachable(now, m.DataCentre == f.settings.DataCentre, t.centres[m.DataCentre])
			if m.Detour == "" || !reachable || m.helping.Ejected(now) || slices.Contains(m.cutOff, r.Pool.Name) || slices.Contains(d.Helpers, id) || !f.dataCentreAllowed(r, m.DataCentre) {
				continue
			}
			if best.ID == "" || f.betterHelper(r, m, best) {
				best = m
			}
		}
		return best
	})
	return best.Member, best.ID != ""
}

// betterHelper reports whether a router is preferred to another one as a helper.
func (f *Fleet) betterHelper(r Request, a, b member) bool {
	if la, lb := a.DataCentre == f.settings.DataCentre, b.DataCentre == f.settings.DataCentre; la != lb {
		return la
	}
	return chat.Score(r.draw, string(a.ID)) > chat.Score(r.draw, string(b.ID))
}

// FinishDetour records how a helper has fared, and reports whether it is left alone for a
// time, as is one that couldn't serve the request either.
func (f *Fleet) FinishDetour(now time.Time, helper core.RouterID, o health.Outcome) bool {
	if o == health.Shed {
		o = health.Unreachable
	}
	return table.Read(f.members, table.Hold{}, func(t *members) bool {
		m, ok := t.byID[helper]
		if !ok {
			return false
		}
		ejected := m.helping.Observe(now, o)
		t.byID[helper] = m
		return ejected
	})
}

// cutOffPools returns the pools from which the router is cut off, with their upstreams.
func (f *Fleet) cutOffPools(now time.Time) map[core.Pool][]roster.Upstream {
	byPool := map[core.Pool][]roster.Upstream{}
	for _, u := range f.inService(now) {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	for p := range byPool {
		if !f.cutOff(now, func(u roster.Upstream) bool { return u.Pool == p }) {
			delete(byPool, p)
		}
	}
	return byPool
}

// CutOffPools returns the number of pools from which the router is cut off.
func (f *Fleet) CutOffPools(now time.Time) int { return len(f.cutOffPools(now)) }

// ProbeTargets returns upstreams of the pools from which the router is cut off, one of each
// data centre and another one each time: it may open a connection to them, to find out whether
// it still is.
func (f *Fleet) ProbeTargets(now time.Time) []roster.Upstream {
	var targets []roster.Upstream
	turn := int(now.UnixMilli() / probeInterval.Milliseconds())
	for _, all := range f.cutOffPools(now) {
		byDataCentre := map[core.DataCentre][]roster.Upstream{}
		for _, u := range all {
			byDataCentre[u.DataCentre] = append(byDataCentre[u.DataCentre], u)
		}
		for _, local := range byDataCentre {
			targets = append(targets, local[turn%len(local)])
		}
	}
	return targets
}

// ProbeInterval returns the time between two probes of pools from which the router is cut
// off.
func (f *Fleet) ProbeInterval() time.Duration { return probeInterval }

// RecordReached records that a connection to an upstream could be opened again. All
// upstreams of the pool get requests again, so that not a single one gets them all.
func (f *Fleet) RecordReached(now time.Time, reached roster.Upstream) {
	inService := f.inService(now)
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for _, u := range inService {
			if s := st.get(u.ID); u.Pool == reached.Pool && s.ejectedLocally {
				s.health.ContactFailures, s.health.EjectedUntil, s.ejectedLocally = 0, time.Time{}, false
				st.reach(u.DataCentre).RecordContact()
			}
		}
	})
}

// RecordUnreached records that a connection to an upstream couldn't be opened, outside of an
// attempt.
func (f *Fleet) RecordUnreached(now time.Time, u roster.Upstream) {
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(u.ID)
		s.reachability = st.reach(u.DataCentre)
		s.raiseDoubt(now, u)
		s.reachability.RecordFailure(now, u.ID)
		if s.health.Observe(now, health.Unreachable) {
			s.ejectedLocally = true
		}
	})
}

// raiseDoubt raises the doubt whether the process of an upstream still runs.
func (s *state) raiseDoubt(now time.Time, u roster.Upstream) {
	s.doubt = lineage.Doubt{Since: now, StartedMS: u.StartedMS, Sequence: u.Sequence}
}

// recordBroken records that a connection to the process of an upstream has broken.
func (s *state) recordBroken(now time.Time, u roster.Upstream) {
	s.broken = lineage.Doubt{Since: now, StartedMS: u.StartedMS, Sequence: u.Sequence}
}

// RecordContact records that another router has sent this one a request.
func (f *Fleet) RecordContact(now time.Time, id core.RouterID) {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		if m, known := t.byID[id]; known {
			m.contactAt = now
			t.byID[id] = m
		}
	})
}

// Heard reports whether another router that has sent a request was heard of recently, or isn't
// known. One that is frozen or cut off closes no connection, and its callers leave it for other
// routers. A router of another data centre sends this one no heartbeats: Heard returns the
// questions that it is to be sent.
func (f *Fleet) Heard(now time.Time, id core.RouterID) (bool, []Envelope) {
	heard, ask := true, false
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		m, known := t.byID[id]
		if !known {
			return
		}
		local := m.DataCentre == f.settings.DataCentre
		heard = m.heard(now, local, t.centres[m.DataCentre]) && (local || now.Sub(m.contactAt) < relayTimeout)
		if ask = !local && now.Sub(m.askedAt) >= askInterval; ask {
			m.askedAt = now
			t.byID[id] = m
		}
	})
	if !ask {
		return heard, nil
	}
	// All builds that take detours reply to this message.
	return heard, f.addressed(now, []core.RouterID{id}, Message{OriginRequest: &OriginRequest{}})
}

// RefuseRelayed returns the refusal of a request that another router has sent: it finds a
// better one sooner than this one finds an upstream. It is nil while this router reaches the
// upstreams.
func (f *Fleet) RefuseRelayed(now time.Time, r Request, unreached int) *core.Refusal {
	if !r.Relayed || (unreached < minUnreached && !f.CutOff(now, r)) {
		return nil
	}
	return notRunRefusal(http.StatusServiceUnavailable, codeCutOff, "this router can't reach the upstreams either")
}

// ConcernsPool reports whether a refusal with the code says something of the pool rather
// than of the router that refuses.
func ConcernsPool(code string) bool {
	return slices.Contains([]string{codeLimited, codeTurnedAway, codeBrittle, codeNoSlot, codeCrashes, codeDeadlyPart, codeOriginUnknown}, code)
}
