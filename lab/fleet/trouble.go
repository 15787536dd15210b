package main

import (
	"time"

	"camphorpulley.org/core"
)

// scheduleLoss stops routers, at once or in groups, and starts them again.
func (sim *simulation) scheduleLoss(l LossSection) {
	sim.after(sim.scenario.Run.Warmup+l.At, func(now time.Time) {
		var lost []*router
		for i, r := range sim.routers {
			if l.Dispatcher != "" {
				continue
			}
			if (l.Share == 0 && r.dataCentre == l.DataCentre) || (l.Share > 0 && float64(i) < l.Share*float64(len(sim.routers))) {
				lost = append(lost, r)
			}
		}
		if d := sim.dispatcher(now, l.Dispatcher); d != nil {
			lost = append(lost, d)
		}
		for i, r := range lost {
			stopAt := now
			if l.Group > 0 {
				stopAt = now.Add(time.Duration(i/l.Group) * l.Gap)
			}
			sim.events.add(stopAt, func(now time.Time) {
				r.stopped = true
				r.epoch++
				sim.events.add(now.Add(l.For), func(time.Time) { sim.startRouter(r) })
			})
		}
	})
}

// scheduleLag makes routers slow for a time.
func (sim *simulation) scheduleLag(l LagSection) {
	sim.after(sim.scenario.Run.Warmup+l.At, func(now time.Time) {
		chosen := sim.chosen(now, l.Dispatcher, l.Share)
		for _, r := range chosen {
			r.lag = l.Time
		}
		sim.events.add(now.Add(l.For), func(time.Time) {
			for _, r := range chosen {
				r.lag = 0
			}
		})
	})
}

// scheduleCut cuts routers off from the others for a time.
func (sim *simulation) scheduleCut(c CutSection) {
	sim.after(sim.scenario.Run.Warmup+c.At, func(now time.Time) {
		chosen := sim.chosen(now, c.Dispatcher, c.Share)
		for _, r := range chosen {
			r.cut = true
		}
		sim.events.add(now.Add(c.For), func(time.Time) {
			for _, r := range chosen {
				r.cut = false
			}
		})
	})
}

// chosen returns the dispatcher of a pool, or a share of all routers if none is named.
func (sim *simulation) chosen(now time.Time, pool string, share float64) []*router {
	if pool == "" {
		return sim.routers[:int(share*float64(len(sim.routers))+0.999)]
	}
	if d := sim.dispatcher(now, pool); d != nil {
		return []*router{d}
	}
	return nil
}

// dispatcher returns the running router that most others take for the dispatcher of a pool; nil if
// there is none.
func (sim *simulation) dispatcher(now time.Time, pool string) *router {
	votes := map[core.RouterID]int{}
	var best *router
	for _, r := range sim.routers {
		d := sim.byID[r.fleet.Dispatcher(now, core.Pool(pool))]
		if d == nil || d.stopped {
			continue
		}
		if votes[d.member.ID]++; best == nil || votes[d.member.ID] > votes[best.member.ID] {
			best = d
		}
	}
	return best
}
