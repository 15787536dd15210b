package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/table"
)

// connectionKept is how recently an upstream must have answered for a connection to it to be
// kept: less than upstreams keep idle ones.
const connectionKept = 10 * time.Second

// contact is how a router has heard of another data centre.
type contact struct{ silence, steady time.Duration }

// linkCosts is what a router knows of the links to other data centres. If they aren't priced,
// placement doesn't depend on them.
type linkCosts struct {
	priced   bool
	contacts map[core.DataCentre]contact
	// link returns the link to a data centre.
	link func(core.DataCentre) locality.Link
	// bound is the bound on the load of the pool's upstreams.
	bound loadBound
	// bytes is the size of a request and of its answer, runTime how long one runs.
	bytes   int
	runTime time.Duration
	draws   locality.Draws
}

// contactsWith returns how the router has heard of the other data centres; nil if the links
// aren't priced.
func (f *Fleet) contactsWith(now time.Time) map[core.DataCentre]contact {
	if !f.settings.Links.Priced() {
		return nil
	}
	all := map[core.DataCentre]contact{}
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		for dc, c := range t.centres {
			all[dc] = contact{silence: now.Sub(c.heardAt), steady: c.heardAt.Sub(c.since)}
		}
	})
	return all
}

// linkCostsOf returns the costs of the links for a request. They don't count for applications
// that together have fewer slots than there are routers: what other routers send there is known
// too late for the bound on the load to hold in one data centre.
func (f *Fleet) linkCostsOf(st *states, r Request, b loadBound, routers int, contacts map[core.DataCentre]contact) linkCosts {
	if !f.settings.Links.Priced() || (r.Pool.Engine == nil && b.Slots < routers) {
		return linkCosts{}
	}
	w := linkCosts{priced: true, contacts: contacts, bound: b, bytes: r.Bytes, runTime: st.runTime(r.Pool.Name).Mean()}
	if b := st.answerBytes[r.Route.Name]; b != nil {
		w.bytes += int(b.Value)
	}
	w.draws = locality.Draws{
		Leave: uniform(chat.Score(r.draw, "leave")), Place: uniform(chat.Score(r.draw, "place")), Back: uniform(chat.Score(r.draw, "back")),
	}
	w.link = func(dc core.DataCentre) locality.Link {
		return locality.Link{Delay: st.linkDelays[dc].OneWay(f.settings.Links.Delay), Price: f.settings.Links.Price}
	}
	return w
}

// uniform returns a number from 0 to below 1 for a pseudorandom one.
func uniform(n uint64) float64 { return float64(n>>11) / (1 << 53) }

// placement is what decides where a request goes beside the policy, and why it has gone to another
// data centre.
type placement struct {
	demand demandOf
	links  linkCosts
	away   locality.Reason
}

// preferredByLink returns the best candidate in view of what the links to other data centres cost.
func preferredByLink[P Policy](now time.Time, policy P, p *placement, all []Candidate) Candidate {
	d, w := p.demand, p.links
	p.away = locality.Here
	if !w.priced || (policy.LocalOnly() && hasRoomHere(all)) {
		return preferredByPace(policy, d, all)
	}
	var order []core.DataCentre
	groups := map[core.DataCentre][]Candidate{}
	for _, c := range all {
		dc := c.Upstream.DataCentre
		if groups[dc] == nil {
			order = append(order, dc)
		}
		groups[dc] = append(groups[dc], c)
	}
	places, best := make([]locality.Place, len(order)), make([]Candidate, len(order))
	for i, dc := range order {
		best[i] = preferredByPace(policy, d, groups[dc])
		places[i] = w.place(now, d, best[i], groups[dc])
	}
	i, reason := locality.Choose(d.objective, places, w.draws)
	first := preferredByPace(policy, d, all)
	if i < 0 {
		return first
	}
	if better, differ := compareFailureRates(best[i], first); differ && !better {
		return first
	}
	p.away = reason
	return best[i]
}

// hasRoomHere reports whether an upstream of the own data centre is under the bound.
func hasRoomHere(all []Candidate) bool {
	for _, c := range all {
		if c.SameDataCentre && !c.OverBound {
			return true
		}
	}
	return false
}

// place returns a data centre whose candidates are given, best among them.
func (w linkCosts) place(now time.Time, d demandOf, best Candidate, all []Candidate) locality.Place {
	dc := best.Upstream.DataCentre
	p := locality.Place{
		Local: best.SameDataCentre, Full: true, RunTime: w.runTime, Bytes: w.bytes, Link: w.link(dc),
		Connected: now.Sub(best.state.lastSuccess) < connectionKept,
	}
	if !p.Local {
		c, heard := w.contacts[dc]
		p.Silence, p.Steady = c.silence, c.steady
		if !heard {
			p.Silence = memberTTL
		}
	}
	work := d.work(best)
	work.Distance = 0
	p.Work = work.Expected(best.Pace)
	load := 0.0
	for _, c := range all {
		load += c.ExpectedLoad / float64(len(all))
		if !c.OverBound {
			p.Full = false
			p.Upstreams++
			p.Slots += slotsOf(c.Upstream)
			p.Load += c.ExpectedLoad
		}
	}
	p.Crowding = (load - w.bound.Mean) / max(float64(w.bound.Most)-w.bound.Mean, 1)
	return p
}

// RecordConnect records how long it took to open a connection to an upstream.
func (f *Fleet) RecordConnect(now time.Time, t Target, took time.Duration) {
	if !f.settings.Links.Priced() || t.DataCentre == f.settings.DataCentre {
		return
	}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		d := st.linkDelays[t.DataCentre]
		if d == nil {
			if st.linkDelays == nil {
				st.linkDelays = map[core.DataCentre]*locality.Delay{}
			}
			d = &locality.Delay{}
			st.linkDelays[t.DataCentre] = d
		}
		d.Record(now, took)
	})
}

// RecordAnswerBytes records the size of an answer.
func (f *Fleet) RecordAnswerBytes(t Target, bytes int) {
	if !f.settings.Links.Priced() || t.Route == "" {
		return
	}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		m := st.answerBytes[t.Route]
		if m == nil {
			if st.answerBytes == nil {
				st.answerBytes = map[string]*load.Mean{}
			}
			m = &load.Mean{}
			st.answerBytes[t.Route] = m
		}
		m.Record(float64(bytes))
	})
}

// Crosses returns why an attempt goes to another data centre, for metrics; empty if it doesn't.
func (f *Fleet) Crosses(t Target) string {
	switch {
	case t.DataCentre == f.settings.DataCentre:
		return ""
	case t.Away != locality.Here:
		return string(t.Away)
	}
	return "order"
}
