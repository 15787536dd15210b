package fleet

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core/rollout"
)

// issue returns the message with the state if it is due. The conductor sends it regularly, and
// any router that has written the final status once.
func (f *Fleet) issue(p *poolRollout, k ticking) *RolloutState {
	c := &p.conduct
	final := p.state.Stage.Final()
	conducts := f.conducts(p, k) || (final && c.conductor == f.settings.ID)
	interval := issueInterval
	if final {
		interval = endedInterval
	}
	over := final && p.state.Written && k.now.Sub(p.endedAt) > endedRepeat
	regular := conducts && !over && k.now.Sub(c.sentAt) >= interval
	if !regular && !c.due {
		return nil
	}
	c.due = false
	if conducts {
		c.sentAt, p.issuedAt = k.now, k.now
	}
	return f.stateMessage(k.now, p, conducts)
}

// stateMessage returns the message with the state of a roll-out as it is known now.
func (f *Fleet) stateMessage(now time.Time, p *poolRollout, conducts bool) *RolloutState {
	m := &RolloutState{State: p.state, BegunSeen: p.begunSeen, IssuedAgeMS: millisSince(now, p.issuedAt), Barred: slices.Sorted(maps.Keys(p.barred))}
	m.State.AgeMS = now.Sub(p.begunAt).Milliseconds()
	if conducts {
		m.Conductor = f.settings.ID
	}
	return m
}

// tell returns the message that tells the conductor of an order that it doesn't seem to know, or
// of a stage that it has forgotten because it has started again; nil if there is none.
func (f *Fleet) tell(p *poolRollout, k ticking) *RolloutState {
	c := &p.conduct
	order := c.heard.Order.Compare(p.state.Order)
	known := c.heard.Order.Pool != "" && (order > 0 || order == 0 && c.heard.Sequence >= p.state.Sequence)
	if c.conductor == f.settings.ID || c.conductor == "" || known || (p.state.Stage.Final() && p.state.Written) {
		return nil
	}
	if k.now.Sub(p.knownAt) < tellDelay || k.now.Sub(c.toldAt) < issueInterval {
		return nil
	}
	c.toldAt = k.now
	return f.stateMessage(k.now, p, false)
}

// report returns the message with this router's samples for the conductor.
func (f *Fleet) report(p *poolRollout, k ticking) *RolloutSamples {
	if p.state.Stage.Final() || p.state.Stage == rollout.None || p.conduct.conductor == f.settings.ID || p.conduct.conductor == "" {
		return nil
	}
	return f.samplesMessage(k.now, p, oldRunning(k.u, k.st, p.state.Order), p.conduct.conductor)
}
