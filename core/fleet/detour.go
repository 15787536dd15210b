package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/health"
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

// ChooseHelper returns the router to which a request is sent in place of an upstream, or
// false if it is to be sent to an upstream: the router reaches some, the request has come
// from another router, or there is no helper left. Helpers in the same data centre come
// first. As the body reaches them, the regions of route and account bind helpers too.
func (f *Fleet) ChooseHelper(now time.Time, r Request, d Detours) (Member, bool) {
	if r.Relayed || len(d.Helpers) >= maxHelpers || (d.Unreached < minUnreached && !f.CutOff(now, r)) {
		return Member{}, false
	}
	best := table.Read(f.members, table.Hold{}, func(t *members) member {
		var best member
		for id, m := range t.byID {
			reachable := m.reachable(now, m.DataCentre == f.settings.DataCentre, t.centres[m.DataCentre])
			if m.Detour == "" || !reachable || m.helping.Ejected(now) || slices.Contains(d.Helpers, id) || !f.dataCentreAllowed(r, m.DataCentre) {
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

// CutOffPools returns the pools from which the router is cut off, and an upstream of each
// that it may open a connection to, to find out whether it still is; another one each time.
func (f *Fleet) CutOffPools(now time.Time) map[core.Pool]roster.Upstream {
	byPool := map[core.Pool][]roster.Upstream{}
	for _, u := range f.inService(now) {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	probes := map[core.Pool]roster.Upstream{}
	turn := int(now.UnixMilli() / probeInterval.Milliseconds())
	for p, all := range byPool {
		if f.cutOff(now, func(u roster.Upstream) bool { return u.Pool == p }) {
			probes[p] = all[turn%len(all)]
		}
	}
	return probes
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

// ConcernsPool reports whether a refusal with the code says something of the pool rather
// than of the router that refuses.
func ConcernsPool(code string) bool {
	return slices.Contains([]string{codeLimited, codeTurnedAway, codeCrashes, codeDeadlyPart, codeOriginUnknown, codeNoRelease}, code)
}
