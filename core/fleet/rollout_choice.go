package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// RolloutAttempt is what an attempt at a pool with a running roll-out says of the release. It
// is used by one goroutine, that of the attempt.
type RolloutAttempt struct {
	Order rollout.Order
	// New is true if the target runs the new release.
	New bool
	// Route is the name of the route, Size the size class of the tokens that the target has
	// to read.
	Route string
	Size  int
	// SentAt is when the request was sent, FirstByteAt when the first byte or event of the
	// answer came; zero before.
	SentAt, FirstByteAt time.Time
}

// MarkSent records that the request is sent.
func (a *RolloutAttempt) MarkSent(now time.Time) {
	if a != nil {
		a.SentAt = now
	}
}

// MarkFirstByte records that the answer begins.
func (a *RolloutAttempt) MarkFirstByte(now time.Time) {
	if a != nil && a.FirstByteAt.IsZero() {
		a.FirstByteAt = now
	}
}

// releaseChoice holds the upstreams among which a request chooses, by release.
type releaseChoice struct {
	// first are tried before rest; empty if the request doesn't go to the new release.
	first, rest []roster.Upstream
	// charged is true if the exposure was charged for first.
	charged bool
	// order is that of the running roll-out; running is false if there is none.
	order   rollout.Order
	running bool
}

// open reports whether the request may go to any of the eligible upstreams, whatever its release.
// A dispatcher, which knows no releases, grants slots only then.
func (c releaseChoice) open(eligible []roster.Upstream) bool {
	return !c.running && len(c.first) == 0 && len(c.rest) == len(eligible)
}

// poolReleases are the upstreams of a pool that accept work, by their part in a roll-out.
type poolReleases struct {
	// target are those of the new release, in the order of the roster, others the number of
	// those of other releases that aren't barred.
	target []core.UpstreamID
	others int
	// startedMS is the earliest start of a process by release, in milliseconds since the
	// Unix epoch.
	startedMS map[string]int64
}

// releasesOf returns the upstreams of a pool by release.
func (f *Fleet) releasesOf(now time.Time, u *upstreams, pool core.Pool, p *poolRollout) poolReleases {
	all := poolReleases{startedMS: map[string]int64{}}
	for _, up := range u.roster.All() {
		if up.Pool != pool || !u.roster.AcceptsWork(now, up) {
			continue
		}
		if first, ok := all.startedMS[up.Release]; !ok || up.StartedMS < first {
			all.startedMS[up.Release] = up.StartedMS
		}
		switch {
		case p.ordered && up.Release == p.state.Order.Target:
			all.target = append(all.target, up.ID)
		case !p.barred[up.Release]:
			all.others++
		}
	}
	return all
}

// chooseRelease returns among which of the eligible upstreams a request chooses. A retry, or
// with held a request that is at an upstream, doesn't try a new release.
func (f *Fleet) chooseRelease(now time.Time, r Request, retry bool, eligible []roster.Upstream) releaseChoice {
	choice := releaseChoice{rest: eligible}
	if !f.rolloutsConfigured() {
		return choice
	}
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.rollouts.Do(held, func(_ table.Hold, t *rollouts) {
			p := t.byPool[r.Pool.Name]
			if p == nil || (!p.ordered && len(p.releases) < 2 && len(p.barred) == 0) {
				return
			}
			releases := f.releasesOf(now, u, r.Pool.Name, p)
			choice.rest = p.admitted(now, releases, eligible)
			if !p.ordered || p.state.Stage.Final() {
				return
			}
			choice.order, choice.running = p.state.Order, p.state.Stage != rollout.None
			if releases.others > 0 {
				f.splitReleases(now, p, r, retry, releases, &choice)
			}
		})
	})
	return choice
}

// admitted returns the eligible upstreams without those of releases that get nothing: barred
// ones, those that are new to the pool, and after a completed roll-out the old ones. A pool
// that has no others uses them.
func (p *poolRollout) admitted(now time.Time, releases poolReleases, eligible []roster.Upstream) []roster.Upstream {
	replaced := p.ordered && p.state.Stage == rollout.Completed && len(releases.target) > 0
	held := p.heldReleases(now, releases)
	usable := false
	for release := range releases.startedMS {
		usable = usable || (!p.barred[release] && !held[release])
	}
	if !usable {
		return eligible
	}
	return slices.DeleteFunc(slices.Clone(eligible), func(u roster.Upstream) bool {
		old := replaced && u.Release != p.state.Order.Target && p.replaces(u.Release, releases)
		return old || p.barred[u.Release] || held[u.Release]
	})
}

// replaces reports whether a release of the pool is one that the completed roll-out has replaced,
// rather than one that came later without an order. A router that hasn't seen the roll-out tells
// them apart by when their processes started.
func (p *poolRollout) replaces(release string, releases poolReleases) bool {
	if !p.watched {
		return releases.startedMS[release] < releases.startedMS[p.state.Order.Target]
	}
	return p.releases[release].first.Before(p.endedAt.Add(newReleaseHold))
}

// heldReleases returns the releases that are new to a pool that has others. If all are new,
// as for a router that has started, the one whose process started first isn't held.
func (p *poolRollout) heldReleases(now time.Time, releases poolReleases) map[string]bool {
	held := map[string]bool{}
	established, first, serving := "", int64(0), false
	for release, startedMS := range releases.startedMS {
		target := p.ordered && release == p.state.Order.Target
		if p.barred[release] || (target && !p.state.Stage.Final()) {
			continue
		}
		if !target && now.Sub(p.releases[release].first) < newReleaseHold {
			held[release] = true
		}
		serving = serving || !held[release]
		if established == "" || startedMS < first || (startedMS == first && release < established) {
			established, first = release, startedMS
		}
	}
	if !serving {
		delete(held, established)
	}
	return held
}

// splitReleases divides the admitted upstreams of a pool with a running roll-out by release.
func (f *Fleet) splitReleases(now time.Time, p *poolRollout, r Request, retry bool, releases poolReleases, c *releaseChoice) {
	target := p.state.Order.Target
	isNew := func(u roster.Upstream) bool { return u.Release == target }
	candidates := slices.DeleteFunc(slices.Clone(c.rest), func(u roster.Upstream) bool { return !isNew(u) })
	c.rest = slices.DeleteFunc(slices.Clone(c.rest), isNew)
	leased := now.Sub(p.issuedAt) <= rolloutLease
	// Another router has counted a request that it has sent, and this one those that have
	// asked for quota.
	first := !retry && !r.Relayed && r.Asks == 0
	if r.Origin.Begun {
		f.goOn(p, r, leased, first, candidates, c)
		return
	}
	switch {
	case !leased || p.state.Stage == rollout.None || len(candidates) == 0:
	case p.state.Stage == rollout.Trying && first:
		chosen := rollout.TrialUpstreams(p.state.Order, releases.target, releases.others, f.settings.Rollout.Share)
		candidates = slices.DeleteFunc(candidates, func(u roster.Upstream) bool { return !slices.Contains(chosen, u.ID) })
		turn := rollout.Turn(chosen, now.Sub(p.begunAt), releases.others, f.settings.Rollout.Share)
		if inTurn := slices.DeleteFunc(slices.Clone(candidates), func(u roster.Upstream) bool { return !slices.Contains(turn, u.ID) }); len(inTurn) > 0 {
			candidates = inTurn
		}
		if len(candidates) > 0 {
			if p.exposure.Take(f.settings.Rollout, r.Route.Name) {
				c.first, c.charged = candidates, true
			}
			return
		}
	case p.state.Stage == rollout.Moving && !retry && fraction(r.draw, target) < p.state.Share:
		c.first = candidates
	case p.state.Stage == rollout.Settling:
		c.first = candidates
	}
	if first {
		p.exposure.Earn(f.settings.Rollout, r.Route.Name)
	}
}

// goOn divides the upstreams for a stream that goes on, which it may do only at the release
// that began it. At the new one it counts like any other request there.
func (f *Fleet) goOn(p *poolRollout, r Request, leased, first bool, candidates []roster.Upstream, c *releaseChoice) {
	if r.Origin.Release != p.state.Order.Target {
		if first {
			p.exposure.Earn(f.settings.Rollout, r.Route.Name)
		}
		return
	}
	c.rest = nil
	switch {
	case !leased || p.state.Stage == rollout.None || len(candidates) == 0:
	case p.state.Stage == rollout.Trying:
		if c.charged = p.exposure.Take(f.settings.Rollout, r.Route.Name); c.charged {
			c.first = candidates
		}
	default:
		c.first = candidates
	}
}

// fraction returns a number from 0 to 1 that differs for each request, the same at all
// routers.
func fraction(draw core.Digest, target string) float64 {
	return float64(chat.Score(draw, "rollout "+target)>>11) / (1 << 53)
}

// returnExposure gives back the exposure of a request that doesn't go to the new release.
func (f *Fleet) returnExposure(r Request, c releaseChoice) {
	if !c.charged {
		return
	}
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, t *rollouts) {
		if p := t.get(r.Pool.Name); p.state.Order == c.order {
			p.exposure.Return(r.Route.Name)
		}
	})
}

// markAttempt records the part of a chosen target in the running roll-out.
func (f *Fleet) markAttempt(t *Target, r Request, c releaseChoice) {
	if !c.running {
		return
	}
	missing := t.SharedTokens - t.CachedTokens + r.OwnTokens
	t.Rollout = &RolloutAttempt{
		Order: c.order, New: t.Release == c.order.Target, Route: r.Route.Name, Size: rollout.SizeClass(missing), SentAt: t.ChosenAt,
	}
	if t.Rollout.New {
		f.rollouts.Do(table.Hold{}, func(_ table.Hold, all *rollouts) { all.get(r.Pool.Name).exposed++ })
	}
}

// chooseAmong selects an upstream first among those of the new release, if the request may go
// there, and then among the others.
func chooseAmong[P Policy](now time.Time, f *Fleet, policy P, r Request, a among) (Target, *core.Refusal) {
	if len(a.choice.first) > 0 {
		first := a
		first.eligible, first.underBound = a.choice.first, a.choice.charged
		t, refusal := chooseFrom(now, f, policy, r, first)
		switch {
		case refusal == nil && t.Ask == nil:
			f.markAttempt(&t, r, a.choice)
			return t, nil
		case refusal == nil && !a.choice.charged:
			return t, nil
		}
		f.returnExposure(r, a.choice)
		if len(a.choice.rest) == 0 {
			return t, refusal
		}
	}
	if a.eligible = a.choice.rest; len(a.eligible) == 0 {
		if r.Origin.Begun {
			return Target{}, releaseGone()
		}
		return Target{}, noUpstream("no upstream of the pool may get the request during the roll-out")
	}
	t, refusal := chooseFrom(now, f, policy, r, a)
	if refusal == nil && t.Ask == nil {
		f.markAttempt(&t, r, a.choice)
	}
	return t, refusal
}

// among is what a choice is made of.
type among struct {
	// eligible are the upstreams that may get the request, pool are all of its pool.
	eligible, pool []roster.Upstream
	choice         releaseChoice
	retry, held    bool
	// underBound is true if only upstreams under the bound on the load may be chosen.
	underBound bool
}
