package fleet

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// An operator orders a pool to be moved to a new release. Package rollout decides what that
// means; the tables here hold what each router knows of the order. One router, the conductor,
// gathers the outcomes of all routers and tells them the stage. The others send requests to
// the new release only while they hear from it.

const (
	// newReleaseHold is how long a release that is new to a pool gets no requests while the
	// pool has others: it may belong to an order that the router hasn't read yet.
	newReleaseHold = time.Second
	// rolloutLease is how old the conductor's state may be for requests to go to the new
	// release: a few of its messages may be lost.
	rolloutLease = 2 * time.Second
	// maxBarred bounds the releases of a pool that are kept out.
	maxBarred = 16
)

// rollouts is the table of the roll-outs, by pool.
type rollouts struct {
	byPool map[core.Pool]*poolRollout
	// updatedAt is when the releases of the pools were last updated.
	updatedAt time.Time
}

// get returns the roll-out of a pool, creating it on first use.
func (t *rollouts) get(p core.Pool) *poolRollout {
	r := t.byPool[p]
	if r == nil {
		if t.byPool == nil {
			t.byPool = map[core.Pool]*poolRollout{}
		}
		r = &poolRollout{}
		t.byPool[p] = r
	}
	return r
}

// poolRollout is what a router knows of the releases of a pool and of the order for it.
type poolRollout struct {
	// ordered is true if there is an order; state is what is known of it.
	ordered bool
	state   rollout.State
	// begunAt is when the order came, knownAt when this router learned of it, and endedAt when
	// it learned of the end.
	begunAt, knownAt, endedAt time.Time
	// issuedAt is when a conductor issued the latest state that this router has; zero if it
	// has none.
	issuedAt time.Time
	// begunSeen is true if the router knows how the roll-out began: it has read the order when
	// it was written, or has heard of a stage.
	begunSeen bool
	// watched is true if the router knew of the roll-out before it ended.
	watched  bool
	exposure rollout.Exposure
	// exposed counts this router's requests that went to the new release.
	exposed int
	// releases holds when each release of the pool was first and last seen.
	releases map[string]sighting
	// barred holds the releases that get nothing: they were rolled back, or their order was
	// withdrawn.
	barred    map[string]bool
	conduct   conducting
	collected collection
	status    statusProgress
}

// sighting is when a release of a pool was first and last seen.
type sighting struct{ first, last time.Time }

// RolloutChange is a change of a roll-out, for the log.
type RolloutChange struct {
	State rollout.State
	// Was is the stage before.
	Was rollout.Stage
	// New is true if the order is new to the router, Repeated if it repeats the running one.
	New, Repeated bool
	// Withdrawn is the target of the order that a new one has replaced; empty if there is
	// none.
	Withdrawn string
	// Verdict is what the change rests on, if this router is the conductor.
	Verdict rollout.Verdict
}

// rolloutsConfigured reports whether the deployment has roll-outs.
func (f *Fleet) rolloutsConfigured() bool { return f.settings.Rollout.Share > 0 }

// ApplyOrder applies an operator's order. Fresh is true if it was read as it was written,
// rather than with all records. It returns nil if the order is known.
func (f *Fleet) ApplyOrder(now time.Time, o rollout.Order, fresh bool) *RolloutChange {
	return f.applyOrder(now, now, o, fresh)
}

// ApplyLateOrder applies an order that was read after reads had failed, and may have been written
// at any time since the last one that had succeeded. Its time counts from then, but half of it is
// left at least.
func (f *Fleet) ApplyLateOrder(now, since time.Time, o rollout.Order) *RolloutChange {
	return f.applyOrder(now, later(since, now.Add(-o.Duration/2)), o, true)
}

func (f *Fleet) applyOrder(now, begunAt time.Time, o rollout.Order, fresh bool) *RolloutChange {
	if !f.rolloutsConfigured() {
		return nil
	}
	routers, rank, _ := f.membership(now)
	var change *RolloutChange
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		p := t.get(o.Pool)
		switch {
		case p.ordered && o.Compare(p.state.Order) <= 0:
		case p.ordered && p.continues(o):
			repeated := o.Era == p.state.Order.Era
			p.state.Order = o
			p.status = statusProgress{}
			p.state.Written = false
			if repeated {
				change = &RolloutChange{State: p.state, Was: p.state.Stage, Repeated: true}
			}
		default:
			change = p.begin(now, begunAt, o)
			if p.begunSeen = fresh; fresh {
				p.exposure.Grant(f.settings.Rollout, routers, rank)
			}
		}
	})
	return change
}

// continues reports whether a later order leaves the roll-out as it is: it repeats the running
// one, or the store has come back from an older copy and holds the order again.
func (p *poolRollout) continues(o rollout.Order) bool {
	return o.Repeats(p.state.Order) && (!p.state.Stage.Final() || o.Era > p.state.Order.Era)
}

// begin replaces the order by one that came at a time. The target of an order that hasn't
// ended gets nothing more.
func (p *poolRollout) begin(now, begunAt time.Time, o rollout.Order) *RolloutChange {
	change := &RolloutChange{New: true}
	if p.ordered && !p.state.Stage.Final() {
		change.Withdrawn = p.state.Order.Target
		p.bar(p.state.Order.Target)
	}
	delete(p.barred, o.Target)
	*p = poolRollout{
		ordered: true, state: rollout.State{Order: o}, begunAt: begunAt, knownAt: now, releases: p.releases, barred: p.barred, exposed: p.exposed,
	}
	p.conduct.trial = table.New(table.RankTrials, rollout.Trial{})
	change.State = p.state
	return change
}

// bar keeps a release out.
func (p *poolRollout) bar(release string) {
	if p.barred == nil {
		p.barred = map[string]bool{}
	}
	if len(p.barred) < maxBarred {
		p.barred[release] = true
	}
}

// set replaces the state of the same order and returns the change; nil if the stage is the
// same.
func (p *poolRollout) set(now time.Time, s rollout.State) *RolloutChange {
	was := p.state.Stage
	p.state = s
	if s.Stage != rollout.None {
		p.begunSeen = true
	}
	if s.Stage == was {
		return nil
	}
	if s.Stage.Final() {
		p.endedAt, p.watched = now, was != rollout.None
		p.status.waitFrom = now
	}
	switch s.Stage {
	case rollout.RolledBack:
		p.bar(s.Order.Target)
	case rollout.Completed:
		delete(p.barred, s.Order.Target)
	}
	return &RolloutChange{State: s, Was: was}
}

// WithdrawOrder records that the record of a pool's order was removed by a later one.
func (f *Fleet) WithdrawOrder(now time.Time, removed rollout.Order) *RolloutChange {
	if !f.rolloutsConfigured() {
		return nil
	}
	return table.Read(f.rollouts, table.Hold{}, func(t *rollouts) *RolloutChange {
		p := t.byPool[removed.Pool]
		if p == nil || !p.ordered || removed.Compare(p.state.Order) <= 0 {
			return nil
		}
		return p.withdraw(now)
	})
}

// withdraw ends the roll-out if it hasn't ended.
func (p *poolRollout) withdraw(now time.Time) *RolloutChange {
	if p.state.Stage.Final() {
		return nil
	}
	s := p.state
	s.Stage, s.Share, s.Reason = rollout.RolledBack, 0, "the order was withdrawn"
	s.Sequence++
	return p.set(now, s)
}

// ApplyOrders applies the orders of a read of all operators' records, which ended before an
// offset in an era of the store. Orders that were written before and are missing were
// withdrawn.
func (f *Fleet) ApplyOrders(now time.Time, all []rollout.Order, next, era uint64) []RolloutChange {
	if !f.rolloutsConfigured() {
		return nil
	}
	var changes []RolloutChange
	present := map[core.Pool]bool{}
	for _, o := range all {
		present[o.Pool] = true
		if c := f.ApplyOrder(now, o, false); c != nil {
			changes = append(changes, *c)
		}
	}
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		for _, pool := range slices.Sorted(maps.Keys(t.byPool)) {
			p := t.byPool[pool]
			if present[pool] || !p.ordered || (p.state.Order.Era == era && p.state.Order.Offset >= next) || p.state.Order.Era > era {
				continue
			}
			if c := p.withdraw(now); c != nil {
				changes = append(changes, *c)
			}
		}
	})
	return changes
}

// noteReleases records the releases of upstreams whose entries have changed.
func (f *Fleet) noteReleases(now time.Time, held table.Hold, u *upstreams, changes []roster.Change) {
	if !f.rolloutsConfigured() || len(changes) == 0 {
		return
	}
	f.rollouts.Do(held, func(_ table.Hold, t *rollouts) {
		for _, c := range changes {
			if up, ok := u.roster.Get(c.ID); ok && up.RemovedAt.IsZero() {
				t.get(up.Pool).note(now, up.Release)
			}
		}
	})
}

// note records that the pool has a release.
func (p *poolRollout) note(now time.Time, release string) {
	if p.releases == nil {
		p.releases = map[string]sighting{}
	}
	s, known := p.releases[release]
	if !known {
		s.first = now
	}
	s.last = now
	p.releases[release] = s
}

// forgetReleases updates which releases the pool has, and forgets those that it has not had
// for as long as removed entries are kept.
func (p *poolRollout) forgetReleases(now time.Time, present map[string]bool) {
	for release := range present {
		p.note(now, release)
	}
	for release, s := range p.releases {
		if now.Sub(s.last) > roster.RemovedRetention {
			delete(p.releases, release)
			delete(p.barred, release)
		}
	}
}
