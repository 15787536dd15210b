package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Readiness is the reason why the router should get no connections; empty if it
// should.
type Readiness string

// Values of Readiness. Serving means that the router is ready.
const (
	Serving      Readiness = ""
	Unconfigured Readiness = "unconfigured"
	NoUpstreams  Readiness = "no_upstreams"
	// Isolated means that the router can't reach the other data centres. The routers
	// there serve callers better than it can.
	Isolated Readiness = "isolated"
)

// Readiness returns whether the router should get connections, or the reason why not.
func (f *Fleet) Readiness(now time.Time) Readiness {
	if f.Catalog() == nil {
		return Unconfigured
	}
	inService := f.inService(now)
	if len(inService) == 0 {
		return NoUpstreams
	}
	if f.mostDataCentresUnreachable(now) && f.mostRemoteUpstreamsUnreachable(now, inService) {
		return Isolated
	}
	return Serving
}

// anyInService reports whether an upstream of any pool may get new work.
func (f *Fleet) anyInService(now time.Time) bool {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) bool {
		return slices.ContainsFunc(u.roster.All(), func(up roster.Upstream) bool { return u.roster.AcceptsWork(now, up) })
	})
}

// inService returns the upstreams of all pools that may get new work.
func (f *Fleet) inService(now time.Time) []roster.Upstream {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) []roster.Upstream {
		var all []roster.Upstream
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				all = append(all, up)
			}
		}
		return all
	})
}

// digestTimeout is the time without a digest after which another data centre counts as
// unreachable: several heartbeat intervals.
const digestTimeout = 1200 * time.Millisecond

// mostDataCentresUnreachable reports whether fewer than half of the data centres are
// reachable: the local one, and each whose last digest is more recent than
// digestTimeout. Data centres that have sent none aren't counted.
func (f *Fleet) mostDataCentresUnreachable(now time.Time) bool {
	return table.Read(f.members, table.Hold{}, func(t *members) bool {
		reachable := 1
		for _, c := range t.centres {
			if now.Sub(c.heardAt) < digestTimeout {
				reachable++
			}
		}
		return 2*reachable < len(t.centres)+1
	})
}

// mostRemoteUpstreamsUnreachable reports whether most upstreams of other data centres
// are ejected, degraded or behind a partition. It distinguishes a partition from
// routers that are down.
func (f *Fleet) mostRemoteUpstreamsUnreachable(now time.Time, inService []roster.Upstream) bool {
	return table.Read(f.states, table.Hold{}, func(st *states) bool {
		remote, unreachable := 0, 0
		for _, up := range inService {
			if up.DataCentre == f.settings.DataCentre {
				continue
			}
			remote++
			if st.reach(up.DataCentre).Partitioned(now) || st.get(up.ID).ejectedOrDegraded(now) {
				unreachable++
			}
		}
		return 2*unreachable > remote
	})
}
