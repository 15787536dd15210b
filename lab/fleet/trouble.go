package main

import "time"

// scheduleLoss stops routers, at once or in groups, and starts them again.
func (sim *simulation) scheduleLoss(l LossSection) {
	sim.after(sim.scenario.Run.Warmup+l.At, func(now time.Time) {
		var lost []*router
		for i, r := range sim.routers {
			if (l.Share == 0 && r.dataCentre == l.DataCentre) || (l.Share > 0 && float64(i) < l.Share*float64(len(sim.routers))) {
				lost = append(lost, r)
			}
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
	set := func(lag time.Duration) func(time.Time) {
		return func(time.Time) {
			for i, r := range sim.routers {
				if float64(i) < l.Share*float64(len(sim.routers)) {
					r.lag = lag
				}
			}
		}
	}
	sim.after(sim.scenario.Run.Warmup+l.At, set(l.Time))
	sim.after(sim.scenario.Run.Warmup+l.At+l.For, set(0))
}
