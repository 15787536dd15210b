package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// Digest is what the relay of a data centre sends of the routers there to one router in
// each other data centre. That router applies it and passes it on to its own data
// centre, merged with those of the other ones.
type Digest struct {
	// Heartbeat holds the sums and unions of the routers' heartbeats. Version is that of
	// the sender's catalog.
	Heartbeat Heartbeat
	// Sources are the data centres that the digest stands for.
	Sources []Source
	// Members are the routers there. They are left out of most digests.
	Members []SeenMember
}

// Source is a data centre of a digest.
type Source struct {
	DataCentre core.DataCentre
	// Relay is the router that has made the data centre's digest.
	Relay core.RouterID
	// AgeMS is the time since that in milliseconds.
	AgeMS int64
}

// SeenMember is a router and the time since its last message in milliseconds.
type SeenMember struct {
	Member Member
	AgeMS  int64
}

// gathered holds what a relay has learned since it sent its last digest.
type gathered struct {
	ejections map[core.UpstreamID]time.Time
	results   map[core.UpstreamID]ResultCount
	parts     []prefix.CachedPart
	crashes   []reportedCrash
}

// reportedCrash is a crash and when the relay learned of it.
type reportedCrash struct {
	crash Crash
	at    time.Time
}

const (
	// maxGatheredParts bounds the cached parts that wait for the next digest. Further
	// ones are not sent.
	maxGatheredParts = 4096
	// crashRepeatTime is for how long a relay repeats a crash in its digests: the loss
	// of one must not hide a request that crashes upstreams.
	crashRepeatTime = 4 * time.Second
)

// add adds a heartbeat, of which the parts are new to the relay.
func (g *gathered) add(now time.Time, b Heartbeat, newParts []prefix.CachedPart) {
	if g.results == nil {
		g.results, g.ejections = map[core.UpstreamID]ResultCount{}, map[core.UpstreamID]time.Time{}
	}
	for _, r := range b.Results {
		sum := g.results[r.Upstream]
		g.results[r.Upstream] = ResultCount{r.Upstream, sum.Successes + r.Successes, sum.Failures + r.Failures}
	}
	if b.credible() {
		for _, e := range b.Ejections {
			if until := now.Add(time.Duration(e.RemainingMS) * time.Millisecond); until.After(g.ejections[e.Upstream]) {
				g.ejections[e.Upstream] = until
			}
		}
	}
	g.parts = append(g.parts, newParts[:min(len(newParts), maxGatheredParts-len(g.parts))]...)
	for _, c := range b.Crashes {
		g.addCrash(now, c)
	}
}

// addCrash adds a crash unless it is known.
func (g *gathered) addCrash(now time.Time, c Crash) {
	for _, known := range g.crashes {
		if known.crash == c {
			return
		}
	}
	g.crashes = append(g.crashes, reportedCrash{c, now})
}

// take returns what was gathered as a heartbeat. It keeps the crashes for
// crashRepeatTime and drops the rest.
func (g *gathered) take(now time.Time) Heartbeat {
	b := Heartbeat{CachedParts: g.parts}
	for _, r := range g.results {
		b.Results = append(b.Results, r)
	}
	for id, until := range g.ejections {
		if until.After(now) {
			b.Ejections = append(b.Ejections, Ejection{id, until.Sub(now).Milliseconds()})
		}
	}
	kept := g.crashes[:0:0]
	for _, c := range g.crashes {
		if now.Sub(c.at) < crashRepeatTime {
			kept = append(kept, c)
			b.Crashes = append(b.Crashes, c.crash)
		}
	}
	*g = gathered{crashes: kept}
	return b
}

// digests is the table of what the router has gathered as a relay.
type digests struct {
	// toOthers is for the other data centres, from heartbeats; toLocal for the local one,
	// from the others' digests.
	toOthers, toLocal gathered
	// running holds by data centre the requests in its last digest.
	running map[core.DataCentre]runningCounts
	// membersSentAt is when members were last sent to the others and to the local ones.
	membersSentAt, localMembersSentAt time.Time
}

// runningCounts are the numbers of requests by upstream, and when they were received.
type runningCounts struct {
	byUpstream map[core.UpstreamID]int
	receivedAt time.Time
}

// runningTTL is how long the counts of a data centre's last digest are used.
const runningTTL = 3 * time.Second

// elsewhere returns the sum of the other data centres' requests by upstream.
func (d *digests) elsewhere(now time.Time) map[core.UpstreamID]int {
	sum := map[core.UpstreamID]int{}
	for dc, counts := range d.running {
		if now.Sub(counts.receivedAt) > runningTTL {
			delete(d.running, dc)
			continue
		}
		for id, n := range counts.byUpstream {
			sum[id] += n
		}
	}
	return sum
}

// applyDigest applies a digest. One from another data centre is kept for the next
// digest to the local one.
func (f *Fleet) applyDigest(now time.Time, from Member, d Digest) Effects {
	fresh := f.addSeenMembers(now, d.Members)
	f.markSources(now, d.Sources)
	f.hearOperatorPosition(now, d.Heartbeat.Operators)
	newParts, changes := f.applyObservations(now, d.Heartbeat)
	counts := runningCounts{countsOf(d.Heartbeat.Running), now}
	if from.DataCentre == f.settings.DataCentre {
		f.setElsewhere(now, counts.byUpstream)
		return Effects{PartChanges: changes}
	}
	var elsewhere map[core.UpstreamID]int
	f.digests.Do(table.Hold{}, func(_ table.Hold, t *digests) {
		if t.running == nil {
			t.running = map[core.DataCentre]runningCounts{}
		}
		t.running[from.DataCentre] = counts
		t.toLocal.add(now, d.Heartbeat, newParts)
		if fresh {
			t.localMembersSentAt = time.Time{}
		}
		elsewhere = t.elsewhere(now)
	})
	f.setElsewhere(now, elsewhere)
	return Effects{Reply: f.snapshotRequest(now, from, d.Heartbeat), PartChanges: changes}
}

// countsOf returns the numbers of running requests by upstream.
func countsOf(all []Running) map[core.UpstreamID]int {
	counts := make(map[core.UpstreamID]int, len(all))
	for _, r := range all {
		counts[r.Upstream] = r.Count
	}
	return counts
}

// setElsewhere replaces the numbers of requests from other data centres.
func (f *Fleet) setElsewhere(now time.Time, counts map[core.UpstreamID]int) {
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for id := range counts {
			st.get(id)
		}
		for id, s := range st.byID {
			s.load.ApplyElsewhere(now, counts[id])
		}
	})
}

const (
	// memberInterval is the time between two digests with members to another data
	// centre, localMemberInterval that between two to the local one. A new router is
	// sent on at once.
	memberInterval      = time.Second
	localMemberInterval = 10 * time.Second
)

// digestToOthers returns the digest of the local data centre.
func (f *Fleet) digestToOthers(now time.Time) Digest {
	d := Digest{Sources: []Source{{DataCentre: f.settings.DataCentre, Relay: f.settings.ID}}}
	withMembers := false
	f.digests.Do(table.Hold{}, func(_ table.Hold, t *digests) {
		d.Heartbeat = t.toOthers.take(now)
		if withMembers = now.Sub(t.membersSentAt) >= memberInterval; withMembers {
			t.membersSentAt = now
		}
	})
	d.Heartbeat.Version, d.Heartbeat.VersionAgeMS = f.versionAndAge(now)
	d.Heartbeat.Operators = f.operatorPosition()
	d.Heartbeat.Parts, d.Heartbeat.Statements = f.partEvidence(now), f.statementReports(now)
	d.Heartbeat.UpstreamsInService = len(f.inService(now))
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for id, s := range st.byID {
			if n := s.load.DataCentre(now); n > 0 {
				d.Heartbeat.Running = append(d.Heartbeat.Running, Running{id, n})
			}
		}
	})
	if withMembers {
		d.Members = append(f.seenMembers(now, true), SeenMember{Member: f.Self()})
	}
	return d
}

// digestToLocal returns the merged digest of the other data centres; false if none has
// sent one recently.
func (f *Fleet) digestToLocal(now time.Time) (Digest, bool) {
	d := Digest{Sources: f.heardSources(now)}
	withMembers := false
	f.digests.Do(table.Hold{}, func(_ table.Hold, t *digests) {
		d.Heartbeat = t.toLocal.take(now)
		for id, n := range t.elsewhere(now) {
			d.Heartbeat.Running = append(d.Heartbeat.Running, Running{id, n})
		}
		if withMembers = now.Sub(t.localMembersSentAt) >= localMemberInterval; withMembers {
			t.localMembersSentAt = now
		}
	})
	d.Heartbeat.UpstreamsInService = len(f.inService(now))
	d.Heartbeat.Parts, d.Heartbeat.Statements = f.partEvidence(now), f.statementReports(now)
	if withMembers {
		d.Members = f.seenMembers(now, false)
	}
	return d, len(d.Sources) > 0
}
