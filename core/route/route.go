// Package route decides which upstreams may serve a request.
package route

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/upstream"
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Account core.Account
	Pool    core.Pool
	// AffinityKey is the digest by which a chat.Policy orders the candidates.
	AffinityKey core.Digest
	// Avoid lists the upstreams at which the request has failed.
	Avoid []core.UpstreamID
	// Only, if not empty, is the only upstream that may serve the request.
	Only core.UpstreamID
}

// View is the state of the router that the choice depends on.
type View struct {
	Sheet     config.Sheet
	Region    string
	Upstreams []upstream.Upstream
	// Running is the number of the router's own requests at each upstream.
	Running map[core.UpstreamID]int
}

// Candidates returns the upstreams of the request's pool that accept new work, to
// which the sheet permits the request to go and that Avoid and Only don't exclude.
func Candidates(now time.Time, v View, r Request) []chat.Candidate {
	candidates := make([]chat.Candidate, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		if u.Pool != r.Pool || !AcceptsWork(now, v, u) || !permitted(v, r, u) || !r.mayTry(u.ID) {
			continue
		}
		candidates = append(candidates, chat.Candidate{ID: u.ID, Running: v.Running[u.ID]})
	}
	return candidates
}

// AcceptsWork reports whether an upstream accepts new work: its data centre is in the
// sheet and in service, it is not draining, and it is not down or is due for a new
// try.
func AcceptsWork(now time.Time, v View, u upstream.Upstream) bool {
	dc, ok := v.Sheet.DataCentre(u.DataCentre)
	if !ok || !dc.AcceptsWork() || u.Draining {
		return false
	}
	return !u.State.Down || !now.Before(u.State.RetryAt)
}

// permitted reports whether the rules of the sheet permit a request to go to an
// upstream's data centre and region.
func permitted(v View, r Request, u upstream.Upstream) bool {
	dc, _ := v.Sheet.DataCentre(u.DataCentre)
	if !pool.Permits(v.Sheet.Rules, r.Account, r.Pool, u.DataCentre) {
		return false
	}
	return dc.Region == v.Region || pool.PermitsRegion(v.Sheet.Rules, r.Account, r.Pool, dc.Region)
}

// mayTry reports whether Avoid and Only let the request be tried at an upstream.
func (r Request) mayTry(id core.UpstreamID) bool {
	if r.Only != "" {
		return id == r.Only
	}
	return !slices.Contains(r.Avoid, id)
}

// PoolRamp returns how the capacity of each upstream of a pool grows as it warms up.
func PoolRamp(p pool.Pool) upstream.Ramp {
	return upstream.Ramp{Cold: p.ColdCapacity, Full: p.Capacity, Length: p.RampTime}
}
