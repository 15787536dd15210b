package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// Heartbeat is the periodic message to the other routers of the data centre: the
// sender's current view, and what it has observed since its last heartbeat.
type Heartbeat struct {
	// Version is that of the catalog in force, VersionAgeMS the time in milliseconds since a
	// router is first known to have applied it; zero if that isn't stated.
	Version      uint64
	VersionAgeMS int64
	// Operators is how far the sender has read the operators' records.
	Operators feed.Position
	// UpstreamsInService is the number of upstreams that the sender knows and that may
	// get work.
	UpstreamsInService int
	Running            []Running
	Ejections          []Ejection
	// Results holds the upstreams that have failed requests since the last heartbeat.
	Results     []ResultCount
	CachedParts []prefix.CachedPart
	Crashes     []Crash
	// Parts is what is known of parts of prompts that may crash upstreams.
	Parts []poison.Evidence
	// Statements are what upstreams say about themselves.
	Statements []StatementReport
	// CutOff holds the pools of which the sender can't reach any upstream.
	CutOff []core.Pool
}

// Running is the number of requests that the sender has at an upstream.
type Running struct {
	Upstream core.UpstreamID
	Count    int
}

// Ejection records that an upstream is ejected for RemainingMS more milliseconds.
type Ejection struct {
	Upstream    core.UpstreamID
	RemainingMS int64
}

// ResultCount counts the responses of an upstream: complete ones and failures. Attempts
// that ended otherwise aren't counted.
type ResultCount struct {
	Upstream            core.UpstreamID
	Successes, Failures int
}

// Crash records that an upstream's process crashed while it ran a request, which is
// identified by the digest of its content.
type Crash struct {
	Content core.Digest
	Process string
}

// agoMS returns the time a number of milliseconds ago. A message may state a negative
// one; it counts as zero, so that nothing is known until a time in the future.
func agoMS(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}

// NextHeartbeat returns the next heartbeat and resets what is counted between two
// heartbeats. It also drops data on upstreams that were removed long ago.
func (f *Fleet) NextHeartbeat(now time.Time) Heartbeat {
	var b Heartbeat
	b.Version, b.VersionAgeMS = f.versionAndAge(now)
	b.Operators = f.operatorPosition()
	var dropped []core.UpstreamID
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		dropped = u.roster.PruneRemoved(now)
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				b.UpstreamsInService++
			}
		}
	})
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for _, id := range dropped {
			delete(st.byID, id)
		}
		for id, s := range st.byID {
			s.load.UpdateUsual(now)
			if s.load.Local > 0 {
				b.Running = append(b.Running, Running{Upstream: id, Count: s.load.Local})
			}
			if s.failures > 0 {
				b.Results = append(b.Results, ResultCount{Upstream: id, Successes: s.successes, Failures: s.failures})
			}
			s.successes, s.failures = 0, 0
			if s.ejectedLocally && s.health.Ejected(now) && !s.reachability.Partitioned(now) {
				b.Ejections = append(b.Ejections, Ejection{Upstream: id, RemainingMS: s.health.EjectedUntil.Sub(now).Milliseconds()})
			}
		}
	})
	b.Statements = f.repeatedStatements(now)
	for p := range f.cutOffPools(now) {
		b.CutOff = append(b.CutOff, p)
	}
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		for _, id := range dropped {
			m.RemoveEngine(id)
		}
		m.Sweep(now)
		b.CachedParts = m.TakeUpdates()
	})
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		s.breaks.Expire(now)
		b.Crashes, s.unsent = s.unsent, nil
		b.Parts = s.parts.Evidence(now, false)
	})
	return b
}

// localSuccessWindow is how recent this router's own success at an upstream must be to
// override ejections by other routers.
const localSuccessWindow = 500 * time.Millisecond

// credible reports whether the sender's ejections are to be believed. A router that has
// ejected most upstreams is assumed to be partitioned itself.
func (b Heartbeat) credible() bool { return 2*len(b.Ejections) <= b.UpstreamsInService }

// applyHeartbeat applies a heartbeat and gathers it for the next digest. The reply is a
// request for a snapshot if the router needs one, else nil.
func (f *Fleet) applyHeartbeat(now time.Time, from Member, b Heartbeat) Effects {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		if m, ok := t.byID[from.ID]; ok {
			m.cutOff = b.CutOff
			t.byID[from.ID] = m
		}
	})
	f.hearOperatorPosition(now, b.Operators)
	counts := countsOf(b.Running)
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for id := range counts {
			st.get(id)
		}
		for id, s := range st.byID {
			s.load.ApplyPeer(now, from.ID, counts[id])
		}
	})
	newParts, changes := f.applyObservations(now, b)
	f.digests.Do(table.Hold{}, func(_ table.Hold, d *digests) { d.toOthers.add(now, b, newParts) })
	return Effects{Reply: f.snapshotRequest(now, from, b), PartChanges: changes}
}

// applyObservations applies what other routers have observed of upstreams, caches and
// requests. It returns the cached parts that were not known, and the changes of parts
// under which requests are refused.
func (f *Fleet) applyObservations(now time.Time, b Heartbeat) ([]prefix.CachedPart, []poison.Change) {
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for _, r := range b.Results {
			st.get(r.Upstream).health.ObserveRemote(now, r.Successes, r.Failures)
		}
		if !b.credible() {
			return
		}
		for _, r := range b.Ejections {
			if s := st.get(r.Upstream); now.Sub(s.lastSuccess) > localSuccessWindow {
				s.health.EjectFor(now, time.Duration(r.RemainingMS)*time.Millisecond)
			}
		}
	})
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		for _, c := range b.Crashes {
			s.table.RecordCrash(now, c.Content, c.Process)
		}
	})
	f.proveParts(b.CachedParts)
	changes := f.mergeEvidence(now, b.Parts)
	return table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []prefix.CachedPart {
		return m.AddFromPeer(now, b.CachedParts, f.maxCacheTokens())
	}), changes
}

// maxCacheTokens returns the size of the largest KV cache among the pools' engines, in
// tokens.
func (f *Fleet) maxCacheTokens() int {
	tokens := 0
	if c := f.Catalog(); c != nil {
		for _, p := range c.Pools {
			if p.Engine != nil {
				tokens = max(tokens, p.Engine.CacheTokens)
			}
		}
	}
	return tokens
}
