package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/quota"
	"camphorpulley.org/core/table"
)

// An upstream's limit applies to all routers together. For each limited upstream one
// router is the allotter: the first by rendezvous of those that can be reached. The others
// ask it before they send a request there. All routers that hold different views together
// exceed a limit only for as long as they do, since an allotter grants the fraction of it
// that the routers which it can reach are of those that may exist, and begins with none.

// QuotaRequest asks an allotter for requests to a limited upstream.
type QuotaRequest struct {
	// Limit is what the sender knows of the limit.
	Limit StatementReport
	// Count is the number of requests that the sender wants.
	Count int
	// Preferred is true if the upstream is the best one for the request, or the request
	// has been tried before.
	Preferred bool
}

// QuotaGrant is the response to a QuotaRequest.
type QuotaGrant struct {
	// Limit is what the allotter knows of the limit, which may have ended.
	Limit StatementReport
	// Count is the number of requests that the receiver may send within quota.Lease.
	Count int
	// RetryMS is the time after which to ask again in milliseconds if Count is zero.
	RetryMS   int64
	Preferred bool
}

const (
	// allotterTTL is how long the choice of an allotter is kept.
	allotterTTL = 100 * time.Millisecond
	// silentTime is for how long a router that didn't respond to a QuotaRequest isn't
	// taken for an allotter.
	silentTime = 2 * time.Second
	// understudyShare is the fraction of the limit that a router grants that is asked
	// although by its own view another one is the allotter, or that doesn't know the
	// other routers yet.
	understudyShare = 0.25
	// remoteSeenTTL is how recently a router of another data centre must have been seen
	// there to count as reachable: members are sent on every localMemberInterval.
	remoteSeenTTL = localMemberInterval + relayTimeout
	// maxAsks is how often one request may ask for quota.
	maxAsks = 3
)

// allotment is who grants the requests of a limited upstream, by one router's view.
type allotment struct {
	allotter core.RouterID
	// share is the fraction of the limit that this router grants if it is asked.
	share float64
	until time.Time
}

// reachable reports whether the router can be asked, as far as is known.
func (m member) reachable(now time.Time, local bool, c centre) bool {
	return !now.Before(m.silentUntil) && m.heard(now, local, c)
}

// heard reports whether the router was heard of recently.
func (m member) heard(now time.Time, local bool, c centre) bool {
	if local {
		return m.live(now)
	}
	return now.Sub(c.heardAt) < relayTimeout && now.Sub(m.refreshedAt) < remoteSeenTTL
}

// updateAllotments chooses the allotters of the limited ones among upstreams anew if that
// was last done long ago.
func (f *Fleet) updateAllotments(now time.Time, ids []core.UpstreamID) {
	due := table.Read(f.states, table.Hold{}, func(st *states) []core.UpstreamID {
		var due []core.UpstreamID
		for _, id := range ids {
			if s := st.byID[id]; s != nil && s.said.Limit.Named && !now.Before(s.allotment.until) {
				due = append(due, id)
			}
		}
		return due
	})
	if len(due) == 0 {
		return
	}
	routers, known, settled := f.reachableRouters(now)
	share := float64(len(routers)) / float64(known)
	if !settled {
		share = understudyShare
	}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for _, id := range due {
			a := allotment{allotter: firstRouter(id, routers), share: share, until: now.Add(allotterTTL)}
			if a.allotter != f.settings.ID {
				a.share = min(share, understudyShare)
			}
			st.get(id).allotment = a
		}
	})
}

// reachableRouters returns this router and those that can be reached, the number of
// routers that may exist, and whether that number can be relied on.
func (f *Fleet) reachableRouters(now time.Time) (routers []core.RouterID, known int, settled bool) {
	known, _, settled = f.membership(now)
	routers = []core.RouterID{f.settings.ID}
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		for id, m := range t.byID {
			if m.reachable(now, m.DataCentre == f.settings.DataCentre, t.centres[m.DataCentre]) {
				routers = append(routers, id)
			}
		}
	})
	return routers, known, settled
}

// firstRouter returns the first router by rendezvous for an upstream.
func firstRouter(id core.UpstreamID, routers []core.RouterID) core.RouterID {
	return firstFor("quota", string(id), routers)
}

// limited reports whether a candidate's process keeps to a limit.
func (s *state) limited(now time.Time, startedMS int64) bool { return s.said.Limited(now, startedMS) }

// worthwhileTokens is how many tokens of a prompt the engines without a limit must lack for
// the quota of one with a limit to be spent on it: fewer are soon read by any of them.
const worthwhileTokens = 1000

// affordable returns the candidates without the limited ones that may not get the request,
// and sets WorthQuota. Left out are those for which nothing is granted at the moment, and
// engines for which the request isn't worth a quota, unless they have far less load than
// the others. An engine whose statement is stale is left in, since only an answer tells
// that a limit has ended, and so is one whose limit isn't fully in force yet.
func affordable(now time.Time, ramp time.Duration, r Request, retried bool, bound loadBound, all []Candidate) []Candidate {
	anyLimited, leastLoad, cached := false, -1, 0
	prompt := prefix.TotalTokens(r.SharedParts)
	for _, c := range all {
		anyLimited = anyLimited || c.Limited
		if c.Limited || c.Excluded || c.Upstream.Cold(now) || c.Load+1 > bound.Most {
			continue
		}
		if leastLoad < 0 || c.Load < leastLoad {
			leastLoad = c.Load
		}
		cached = max(cached, c.CachedTokens)
	}
	if !anyLimited {
		return all
	}
	kept := make([]Candidate, 0, len(all))
	for _, c := range all {
		if c.Limited {
			saves := prompt-cached >= worthwhileTokens
			c.WorthQuota = saves || retried
			denied := c.state.purse.DeniedFor(now, c.WorthQuota) > 0 && !c.state.purse.Holds(now)
			needless := r.Pool.Engine != nil && !saves && leastLoad >= 0 && leastLoad <= 2*c.Load && !c.state.said.Stale(now) && !c.state.said.Begins(now, ramp)
			if denied || needless {
				continue
			}
		}
		kept = append(kept, c)
	}
	return kept
}

// firstWithQuota returns the first candidate, in the order of choose, that isn't limited or
// of which a request can be taken. If it has to be asked for, it also returns the message.
// The state of the candidate is nil if there is none.
func firstWithQuota(candidates []Candidate, choose func([]Candidate) Candidate, take func(Candidate) (bool, *Envelope)) (Candidate, *Envelope) {
	for {
		best := choose(candidates)
		if best.state == nil || !best.Limited {
			return best, nil
		}
		if taken, ask := take(best); taken || ask != nil {
			return best, ask
		}
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.state == best.state })
	}
}

// takeQuota takes a request to a limited candidate from what was granted, or grants one if
// this router is the allotter. Otherwise it returns the message that asks the allotter, if
// the request may still ask.
func (f *Fleet) takeQuota(now time.Time, r Request, c Candidate) (taken bool, ask *Envelope) {
	s := c.state
	if s.purse.Use(now) {
		return true, nil
	}
	if s.allotment.allotter == f.settings.ID {
		granted, retry := s.bucket.Take(now, f.quotaRate(now, s), 1, c.WorthQuota)
		if granted == 0 {
			s.purse.Deny(now, c.WorthQuota, retry)
		}
		return granted > 0, nil
	}
	if r.Asks >= maxAsks || s.allotment.allotter == "" {
		return false, nil
	}
	return false, &Envelope{To: s.allotment.allotter, Message: Message{SentMS: f.uptimeMS(now), QuotaRequest: &QuotaRequest{
		Limit: statementReport(now, c.Upstream.ID, s.said), Count: s.purse.Demand(now), Preferred: c.WorthQuota,
	}}}
}

// quotaRate returns the requests per second that this router may grant to an upstream.
func (f *Fleet) quotaRate(now time.Time, s *state) float64 {
	return s.said.Rate(now, f.limitRamp()) * s.allotment.share
}

// limitRamp returns the time within which a limit comes into force.
func (f *Fleet) limitRamp() time.Duration {
	return time.Duration(limitRampFraction * float64(f.settings.LimitGrace))
}

// limitRampFraction is the fraction of Settings.LimitGrace within which a limit comes into
// force: the rest is for requests that are on their way.
const limitRampFraction = 0.6

// grantQuota responds to a QuotaRequest.
func (f *Fleet) grantQuota(now time.Time, q QuotaRequest, delayMS int64) Effects {
	e := Effects{StatementChanges: f.mergeStatements(now, []StatementReport{q.Limit}, delayMS)}
	f.updateAllotments(now, []core.UpstreamID{q.Limit.Upstream})
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.byID[q.Limit.Upstream]
		if s == nil {
			return
		}
		g := QuotaGrant{Limit: statementReport(now, q.Limit.Upstream, s.said), Preferred: q.Preferred}
		if s.limited(now, q.Limit.StartedMS) {
			var retry time.Duration
			g.Count, retry = s.bucket.Take(now, f.quotaRate(now, s), q.Count, q.Preferred)
			g.RetryMS = retry.Milliseconds()
		}
		e.Reply = &Message{SentMS: f.uptimeMS(now), QuotaGrant: &g}
	})
	return e
}

// applyGrant applies the response to a QuotaRequest. One that was on its way for longer
// than quota.Lease grants nothing.
func (f *Fleet) applyGrant(now time.Time, g QuotaGrant, delayMS int64) Effects {
	e := Effects{StatementChanges: f.mergeStatements(now, []StatementReport{g.Limit}, delayMS), QuotaFor: g.Limit.Upstream}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.byID[g.Limit.Upstream]
		switch {
		case s == nil || s.said.StartedMS != g.Limit.StartedMS:
		case g.Count > 0 && delayMS <= quota.Lease.Milliseconds():
			s.purse.Grant(now, min(g.Count, maxGrant))
		case g.RetryMS > 0:
			s.purse.Deny(now, g.Preferred, time.Duration(min(g.RetryMS, maxRetryMS))*time.Millisecond)
		}
	})
	return e
}

const (
	// maxGrant and maxRetryMS bound what a message from another router may state.
	maxGrant   = 1000
	maxRetryMS = 1000
)

// RecordQuotaSilence records that an allotter hasn't responded to a QuotaRequest. Another
// router is asked for the next requests.
func (f *Fleet) RecordQuotaSilence(now time.Time, id core.UpstreamID, allotter core.RouterID) {
	f.members.Do(table.Hold{}, func(held table.Hold, t *members) {
		if m, ok := t.byID[allotter]; ok {
			m.silentUntil = now.Add(silentTime)
			t.byID[allotter] = m
		}
		f.states.Do(held, func(_ table.Hold, st *states) {
			for other, s := range st.byID {
				if s.allotment.allotter != allotter {
					continue
				}
				s.allotment.until = time.Time{}
				if other == id {
					s.purse.Deny(now, true, quota.SilentRetry)
				}
			}
		})
	})
}

// resetStatement replaces what an earlier process of an upstream has said, and forgets what was
// granted for it.
func (s *state) resetStatement(now time.Time, startedMS int64) {
	if s.said.StartedMS == startedMS {
		return
	}
	s.said.Succeed(now, startedMS)
	s.bucket, s.purse = quota.Bucket{}, quota.Purse{}
}
