package roster

import (
	"time"

	"camphorpulley.org/core"
)

// SetOutOfService takes the given data centres out of service and all others
// back into service. The upstreams of those that come back count as cold for ReturnTime.
func (r *Roster) SetOutOfService(now time.Time, dataCentres map[core.DataCentre]bool) {
	for dc := range r.outSince {
		if !dataCentres[dc] {
			r.markCold(dc, now.Add(ReturnTime))
		}
	}
	out := make(map[core.DataCentre]time.Time, len(dataCentres))
	for dc := range dataCentres {
		out[dc] = now
		if since, already := r.outSince[dc]; already {
			out[dc] = since
		}
	}
	r.outSince = out
}

// markCold lets the upstreams of a data centre count as cold until the given time.
func (r *Roster) markCold(dc core.DataCentre, until time.Time) {
	if r.coldUntil == nil {
		r.coldUntil = map[core.DataCentre]time.Time{}
	}
	r.coldUntil[dc] = until
	for _, u := range r.All() {
		if u.DataCentre == dc {
			u.ColdUntil = later(u.ColdUntil, until)
			r.store(u)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// InService reports whether a data centre is in service.
func (r *Roster) InService(dc core.DataCentre) bool {
	_, out := r.outSince[dc]
	return !out
}
