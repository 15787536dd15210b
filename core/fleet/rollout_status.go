package fleet

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/table"
)

// RolloutStatus is the status of a pool's roll-out in the store.
type RolloutStatus struct {
	Pool   core.Pool
	Target string
	// Offset is that of the order's record, Era the one of the store at that time; zero if the
	// store states none.
	Offset, Era uint64
	// Stage is Completed or RolledBack; any other one means that the roll-out is running.
	Stage rollout.Stage
}

// NoOrder is the offset in a status that doesn't state which order it belongs to.
const NoOrder = ^uint64(0)

const (
	// statusTurn is the time after which the next router writes a final status that the one
	// before it hasn't.
	statusTurn = 500 * time.Millisecond
	// maxStatusWriters bounds the routers that write a final status: the store may refuse
	// some of them.
	maxStatusWriters = 16
	// statusCheckTime is the time between two reads of the status by a router that doesn't
	// hear from a conductor.
	statusCheckTime = 2 * time.Second
)

// statusProgress is what a router knows of the status in the store.
type statusProgress struct {
	// read is true once the status was read, running once it is there that the roll-out is
	// running.
	read, running bool
	readAt        time.Time
	// superseded is true if the store has the status of a later order of the pool, which this
	// router hasn't read.
	superseded bool
	// waitFrom is when the roll-out ended, as this router knows.
	waitFrom time.Time
}

// StatusWork is what a router has to do at the store for the roll-outs.
type StatusWork struct {
	// Read is true if it has to read the statuses. Write are those that it has to write,
	// unless the store has final ones of the same orders.
	Read  bool
	Write []RolloutStatus
}

// None reports whether there is nothing to do.
func (w StatusWork) None() bool { return !w.Read && len(w.Write) == 0 }

// StatusWork returns what this router has to do at the store now.
func (f *Fleet) StatusWork(now time.Time) StatusWork {
	var w StatusWork
	if !f.rolloutsConfigured() || !table.Read(f.rollouts, table.Hold{}, (*rollouts).needsStore) {
		return w
	}
	routers, _, _ := f.reachableRouters(now)
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
			p := t.byPool[pool]
			if !p.ordered || p.conduct.conductor == "" {
				continue
			}
			if p.mustWrite(now, f.settings.ID, routers) {
				w.Write = append(w.Write, p.ownStatus())
			}
			w.Read = w.Read || p.mustRead(now)
		}
	})
	return w
}

// needsStore reports whether a roll-out may need the store.
func (t *rollouts) needsStore() bool {
	for _, p := range t.byPool {
		if p.ordered && (!p.state.Stage.Final() || !p.state.Written) {
			return true
		}
	}
	return false
}

// ownStatus returns the status that is to be in the store.
func (p *poolRollout) ownStatus() RolloutStatus {
	o := p.state.Order
	return RolloutStatus{Pool: o.Pool, Target: o.Target, Offset: o.Offset, Era: o.Era, Stage: p.state.Stage}
}

// mustWrite reports whether it is the router's turn to write the status. The conductor writes
// each change; the next ones write a final status that it seems unable to write.
func (p *poolRollout) mustWrite(now time.Time, self core.RouterID, routers []core.RouterID) bool {
	if p.status.superseded {
		return false
	}
	conductor := p.conduct.conductor == self
	if !p.state.Stage.Final() {
		return conductor && p.state.Stage != rollout.None && !p.status.running
	}
	if p.state.Written {
		return false
	}
	if conductor {
		return true
	}
	place := placeOf(p.state.Order, routers, self)
	return place < maxStatusWriters && now.Sub(p.status.waitFrom) >= time.Duration(max(place, 1))*statusTurn
}

// mustRead reports whether the router has to know the status: it may have missed how the
// roll-out began, or no longer hears how it goes on.
func (p *poolRollout) mustRead(now time.Time) bool {
	if p.state.Stage.Final() {
		return false
	}
	if !p.begunSeen && !p.status.read {
		return true
	}
	silent := now.Sub(later(p.issuedAt, p.knownAt)) > 2*rolloutLease
	return silent && now.Sub(p.status.readAt) >= statusCheckTime
}

// ApplyStatuses applies the statuses in the store, of which all were read. A final one of the
// same order holds.
func (f *Fleet) ApplyStatuses(now time.Time, all []RolloutStatus) []RolloutChange {
	var changes []RolloutChange
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		stored := map[core.Pool]RolloutStatus{}
		for _, s := range all {
			stored[s.Pool] = s
		}
		for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
			p := t.byPool[pool]
			if !p.ordered {
				continue
			}
			p.status.read, p.status.readAt = true, now
			s, found := stored[pool]
			found = found && s.Offset == p.state.Order.Offset && s.Target == p.state.Order.Target
			p.status.running = found && !s.Stage.Final()
			// An offset of an earlier era says nothing: a restored store gives it out again.
			p.status.superseded = s.Offset > p.state.Order.Offset && s.Offset != NoOrder && s.Era >= p.state.Order.Era
			if !found || !s.Stage.Final() {
				continue
			}
			next := p.state
			if !next.Written || next.Stage != s.Stage {
				next.Sequence++
				p.conduct.due = true
			}
			if next.Written = true; next.Stage != s.Stage {
				next.Stage, next.Reason = s.Stage, "the store has this status"
			}
			if c := p.set(now, next); c != nil {
				changes = append(changes, *c)
			}
		}
	})
	return changes
}

// RecordStatusWritten records that the store has confirmed a status.
func (f *Fleet) RecordStatusWritten(now time.Time, s RolloutStatus) {
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		p := t.byPool[s.Pool]
		if p == nil || !p.ordered || p.state.Order.Offset != s.Offset || p.state.Order.Target != s.Target {
			return
		}
		p.status.running = !s.Stage.Final()
		if s.Stage.Final() && p.state.Stage == s.Stage && !p.state.Written {
			p.state.Written = true
			p.conduct.due = true
		}
	})
}

// RecheckStatuses lets the statuses be written again that the store may have lost, because it
// has come back from an older copy.
func (f *Fleet) RecheckStatuses(now time.Time) {
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, p := range t.byPool {
			if p.ordered {
				p.status = statusProgress{waitFrom: now}
				p.state.Written = false
			}
		}
	})
}

// rolloutStates returns the states of the roll-outs for a router that has started.
func (f *Fleet) rolloutStates(now time.Time) []RolloutState {
	var all []RolloutState
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
			if p := t.byPool[pool]; p.ordered {
				all = append(all, *f.stateMessage(now, p, false))
			}
		}
	})
	return all
}

// RolloutView is a roll-out as the router sees it, for operators.
type RolloutView struct {
	Pool   core.Pool `json:"pool"`
	Target string    `json:"target"`
	Stage  string    `json:"stage"`
	// Share is the fraction of the requests that go to the new release while they move over.
	Share float64 `json:"share"`
	// AgeMS is the time since the order, DurationMS that within which the roll-out has to
	// end, and IssuedAgeMS that since the conductor's latest state, in milliseconds; -1 if
	// there was none.
	AgeMS       int64         `json:"age_ms"`
	DurationMS  int64         `json:"duration_ms"`
	IssuedAgeMS int64         `json:"heard_ms"`
	Order       uint64        `json:"order"`
	Conductor   core.RouterID `json:"conductor"`
	// Exposed is the number of this router's requests that went to the new release.
	Exposed int `json:"exposed"`
	// The answers are those that the conductor knows, and how many of them were bad.
	OldAnswers int    `json:"old_answers"`
	OldBad     int    `json:"old_bad"`
	NewAnswers int    `json:"new_answers"`
	NewBad     int    `json:"new_bad"`
	Reason     string `json:"reason"`
	Written    bool   `json:"written"`
}

// Rollouts returns the newest roll-out of each pool, for operators.
func (f *Fleet) Rollouts(now time.Time) []RolloutView {
	var all []RolloutView
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
			p := t.byPool[pool]
			if !p.ordered {
				continue
			}
			s, v := p.state, p.conduct.verdict
			all = append(all, RolloutView{
				Pool: pool, Target: s.Order.Target, Stage: s.Stage.String(), Share: s.Share, AgeMS: now.Sub(p.begunAt).Milliseconds(),
				DurationMS: s.Order.Duration.Milliseconds(), IssuedAgeMS: millisSince(now, p.issuedAt), Order: s.Order.Offset,
				Conductor: p.conduct.conductor, Exposed: p.exposed, OldAnswers: v.OldAnswers, OldBad: v.OldBad,
				NewAnswers: v.NewAnswers, NewBad: v.NewBad, Reason: s.Reason, Written: s.Written,
			})
		}
	})
	return all
}

// RolloutFigures returns how many of this router's requests have gone to new releases, and how
// many bad answers of them it knows as the conductor.
func (f *Fleet) RolloutFigures() (exposed, bad int) {
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, p := range t.byPool {
			exposed += p.exposed
			bad += p.conduct.verdict.NewBad
		}
	})
	return exposed, bad
}
