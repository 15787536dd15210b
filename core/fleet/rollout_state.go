package fleet

import (
	"math"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/table"
)

// RolloutState tells all routers the state of a roll-out.
type RolloutState struct {
	State rollout.State
	// IssuedAgeMS is the time since the conductor issued the state in milliseconds; negative
	// if none has.
	IssuedAgeMS int64
	// Conductor is the router that decides; empty if the message comes from another one.
	Conductor core.RouterID
	// BegunSeen is true if the sender knows how the roll-out began.
	BegunSeen bool
	// Barred are the releases that get nothing.
	Barred []string
}

const (
	// maxRolloutAge bounds the ages that messages may state.
	maxRolloutAge = 48 * time.Hour
	// maxReleaseBytes bounds the names of releases in messages.
	maxReleaseBytes = 255
)

// valid reports whether a message can be true.
func (m RolloutState) valid() bool {
	s := m.State
	if s.Stage < rollout.None || s.Stage > rollout.RolledBack || s.Order.Pool == "" || len(s.Order.Target) > maxReleaseBytes {
		return false
	}
	if m.IssuedAgeMS > maxRolloutAge.Milliseconds() {
		return false
	}
	if math.IsNaN(s.Share) || s.Share < 0 || s.Share > 1 || s.Order.Duration < 0 || s.Order.Duration > maxRolloutAge {
		return false
	}
	return s.AgeMS >= 0 && s.AgeMS <= maxRolloutAge.Milliseconds() && s.ChangedMS >= 0 && s.ChangedMS <= maxRolloutAge.Milliseconds()
}

// applyRolloutState applies the state that another router has sent, which took a number of
// milliseconds longer than the quickest messages. It returns nil if the stage is the same.
func (f *Fleet) applyRolloutState(now time.Time, m RolloutState, delayMS int64) *RolloutChange {
	if !f.rolloutsConfigured() || !m.valid() {
		return nil
	}
	routers, rank := 1, 0
	if !f.knowsOrder(m.State.Order) {
		routers, rank, _ = f.membership(now)
	}
	begunAt := agoMS(now, m.State.AgeMS+delayMS)
	var change *RolloutChange
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.rollouts.Do(held, func(_ table.Hold, t *rollouts) {
			p := t.get(m.State.Order.Pool)
			if len(p.releases) == 0 && !p.ordered && len(t.byPool) > maxRolloutPools {
				delete(t.byPool, m.State.Order.Pool)
				return
			}
			change = p.merge(now, begunAt, m.State)
			if change != nil && change.New && f.started.Before(begunAt) {
				p.exposure.Grant(f.settings.Rollout, routers, rank)
			}
			p.begunSeen = p.begunSeen || (m.BegunSeen && p.state.Order == m.State.Order)
			p.hear(now, m, delayMS)
			present := presentReleases(u, m.State.Order.Pool)
			for _, release := range m.Barred {
				if present[release] && (release != p.state.Order.Target || p.state.Stage == rollout.RolledBack) {
					p.bar(release)
				}
			}
		})
	})
	return change
}

// receiveRollout applies a message about a roll-out. Other messages change nothing.
func (f *Fleet) receiveRollout(now time.Time, from Member, m Message, delayMS int64) Effects {
	switch {
	case m.RolloutState != nil:
		return f.receiveRolloutState(now, from, *m.RolloutState, delayMS)
	case m.RolloutSamples != nil:
		f.applyRolloutSamples(now, from, *m.RolloutSamples, delayMS)
	}
	return Effects{}
}

// receiveRolloutState applies the state that another router has sent, and passes it on.
func (f *Fleet) receiveRolloutState(now time.Time, from Member, m RolloutState, delayMS int64) Effects {
	var e Effects
	if !f.rolloutsConfigured() || !m.valid() {
		return e
	}
	if c := f.applyRolloutState(now, m, delayMS); c != nil {
		e.RolloutChanges = append(e.RolloutChanges, *c)
	}
	if from.ID == m.Conductor {
		f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
			if p := t.byPool[m.State.Order.Pool]; p != nil {
				p.collected.hearConductor(from.ID, from.Incarnation)
			}
		})
	}
	if m.IssuedAgeMS >= 0 {
		m.IssuedAgeMS += delayMS
	}
	m.State.AgeMS += delayMS
	e.Forward = f.passOn(now, from, Message{RolloutState: &m})
	return e
}

// knowsOrder reports whether the router knows an order, or a later one of the pool.
func (f *Fleet) knowsOrder(o rollout.Order) bool {
	return table.Read(f.rollouts, table.Hold{}, func(t *rollouts) bool {
		p := t.byPool[o.Pool]
		return p != nil && p.ordered && o.Compare(p.state.Order) <= 0
	})
}

// maxRolloutPools bounds the pools without upstreams of which messages may tell.
const maxRolloutPools = 1000

// merge applies a state whose order came at a time.
func (p *poolRollout) merge(now, begunAt time.Time, s rollout.State) *RolloutChange {
	var begun *RolloutChange
	order := s.Order.Compare(p.state.Order)
	switch {
	case !p.ordered:
		begun = p.begin(now, begunAt, s.Order)
	case order != 0 && !s.Stage.Final() && !p.state.Stage.Final() && s.Order.Repeats(p.state.Order):
		// The order was written twice, and one of the routers hasn't read both records.
		if order < 0 {
			s.Order = p.state.Order
		} else {
			p.state.Order = s.Order
			p.status = statusProgress{}
		}
	case order < 0:
		return nil
	case order > 0 && s.Order.Era > p.state.Order.Era && s.Order.Repeats(p.state.Order):
		p.state.Order = s.Order
		p.status = statusProgress{}
	case order > 0:
		begun = p.begin(now, begunAt, s.Order)
	}
	if begunAt.Before(p.begunAt) {
		p.begunAt = begunAt
	}
	change := p.set(now, p.state.Merge(s))
	switch {
	case begun == nil:
		return change
	case change != nil:
		begun.State = change.State
	}
	return begun
}

// hear records who has issued a state, and when.
func (p *poolRollout) hear(now time.Time, m RolloutState, delayMS int64) {
	if m.IssuedAgeMS < 0 || m.State.Order.Compare(p.state.Order) < 0 && !m.State.Order.Repeats(p.state.Order) {
		return
	}
	at := agoMS(now, m.IssuedAgeMS+delayMS)
	p.issuedAt = later(p.issuedAt, at)
	if m.Conductor == "" {
		return
	}
	c := &p.conduct
	if m.Conductor == c.conductor {
		c.heard = m.State
	}
	if c.heardAt == nil {
		c.heardAt = map[core.RouterID]time.Time{}
	}
	if len(c.heardAt) < maxHeardConductors {
		c.heardAt[m.Conductor] = later(c.heardAt[m.Conductor], at)
	}
	if now.Sub(at) <= conductorTimeout {
		delete(c.silent, m.Conductor)
	}
}

// maxHeardConductors bounds the routers that are recorded as conductors of one roll-out.
const maxHeardConductors = 4096
