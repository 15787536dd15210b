package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Readiness says whether the router should get connections, and why not.
type Readiness string

// Reasons why a router is not ready; empty if it is.
const (
	Serving      Readiness = ""
	Unconfigured Readiness = "unconfigured"
	NoUpstreams  Readiness = "no_upstreams"
	// Isolated means that the router is cut off from the other data centres.
	// The routers there serve callers better than it can.
	Isolated Readiness = "isolated"
)

// Ready reports whether the router should get connections.
func (f *Fleet) Ready(now time.Time) Readiness {
	if f.Current() == nil {
		return Unconfigured
	}
	open := f.inService(now)
	if len(open) == 0 {
		return NoUpstreams
	}
	if f.silentAbroad(now) && f.lostAbroad(now, open) {
		return Isolated
	}
	return Serving
}

// inService returns the upstreams of all pools that may get work.
func (f *Fleet) inService(now time.Time) []roster.Upstream {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) []roster.Upstream {
		var open []roster.Upstream
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				open = append(open, up)
			}
		}
		return open
	})
}

// peerSilence is how long routers of other data centres must be silent for them to
// be taken for unreachable: several beats.
const peerSilence = 1200 * time.Millisecond

// silentAbroad reports whether fewer than half of the data centres have routers
// that are heard, the own one counted as heard.
func (f *Fleet) silentAbroad(now time.Time) bool {
	return table.Read(f.members, table.Hold{}, func(p *members) bool {
		known := map[core.DataCentre]bool{f.settings.DataCentre: true}
		heard := 1
		for _, m := range p.byID {
			if m.heard.IsZero() {
				continue
			}
			fresh := now.Sub(m.heard) < peerSilence
			if m.DataCentre != f.settings.DataCentre && fresh && !known[m.DataCentre] {
				heard++
			}
			known[m.DataCentre] = known[m.DataCentre] || fresh
		}
		return 2*heard < len(known)
	})
}

// lostAbroad reports whether contact was lost to most upstreams of other data
// centres. It tells a cut from routers that are down.
func (f *Fleet) lostAbroad(now time.Time, open []roster.Upstream) bool {
	return table.Read(f.loads, table.Hold{}, func(l *loads) bool {
		far, lost := 0, 0
		for _, up := range open {
			if up.DataCentre == f.settings.DataCentre {
				continue
			}
			far++
			if l.centre(up.DataCentre).Cut(now) || l.of(up.ID).doubtful(now) {
				lost++
			}
		}
		return 2*lost > far
	})
}
