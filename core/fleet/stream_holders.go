package fleet

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/table"
)

// StreamRecord is a lineage.Record for the holders of a stream.
type StreamRecord struct {
	Stream  core.Digest
	Pool    core.Pool
	Certain bool
	Release string
	// LeftMS is for how long callers may resume the stream, in milliseconds.
	LeftMS int64
	// Upstream, StartedMS and AgeMS are the upstream, the start of the process of its entry, and how
	// long ago the stream began, in milliseconds. They are empty if the process was asked.
	Upstream  core.UpstreamID
	StartedMS int64
	AgeMS     int64
}

// holderCount is the number of routers that hold the record of a stream besides the one that has
// begun it.
const holderCount = 3

// unsentRecords returns the messages with the records of some pools that their holders
// haven't been told.
func (f *Fleet) unsentRecords(now time.Time, pools map[core.Pool]bool) []Envelope {
	unsent := table.Read(f.lineage, table.Hold{}, func(l *lineage.Records) []lineage.Record { return l.TakeUnsent(pools) })
	if len(unsent) == 0 {
		return nil
	}
	members := f.Members(now)
	byHolder := map[core.RouterID][]StreamRecord{}
	for _, r := range unsent {
		r.Certain = r.Certain && !f.begunAtReplaced(r)
		told := StreamRecord{Stream: r.Stream, Pool: r.Pool, Certain: r.Certain, Release: r.Release, LeftMS: r.Until.Sub(now).Milliseconds()}
		if r.Certain && !r.Identified {
			told.Upstream, told.StartedMS, told.AgeMS = r.Upstream, r.StartedMS, now.Sub(r.BegunAt).Milliseconds()
		}
		for _, id := range f.holders(members, r.Stream) {
			byHolder[id] = append(byHolder[id], told)
		}
	}
	var all []Envelope
	for id, records := range byHolder {
		all = append(all, f.addressed(now, []core.RouterID{id}, Message{StreamRecords: records})...)
	}
	return all
}

// recordsOfMixedPools returns the messages with the records that were made while the
// router believed that their pool has a single release.
func (f *Fleet) recordsOfMixedPools(now time.Time) []Envelope {
	c := f.Catalog()
	if c == nil {
		return nil
	}
	life := time.Duration(0)
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == catalog.Stream {
			life = max(life, streamLife(r))
		}
	}
	f.lineage.Do(table.Hold{}, func(_ table.Hold, l *lineage.Records) { l.Expire(now) })
	mixed := map[core.Pool]bool{}
	for p := range c.Pools {
		mixed[p] = f.poolReport(now, p, life).Knowledge != lineage.Uniform
	}
	return f.unsentRecords(now, mixed)
}

// holders returns the routers that hold the record of a stream, without this one: the first
// by rendezvous of the first data centres, then any others.
func (f *Fleet) holders(members []Member, stream core.Digest) []core.RouterID {
	type ranked struct {
		Member
		score uint64
	}
	all := make([]ranked, 0, len(members)+1)
	for _, m := range append(slices.Clone(members), f.Self()) {
		all = append(all, ranked{m, chat.Score(stream, string(m.ID))})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	seen := map[core.DataCentre]bool{}
	var first, others []core.RouterID
	for _, m := range all {
		if seen[m.DataCentre] {
			others = append(others, m.ID)
			continue
		}
		seen[m.DataCentre] = true
		first = append(first, m.ID)
	}
	chosen := append(first, others...)
	chosen = chosen[:min(holderCount, len(chosen))]
	return slices.DeleteFunc(chosen, func(id core.RouterID) bool { return id == f.settings.ID })
}

// keepRecords keeps the records of streams that another router has begun.
func (f *Fleet) keepRecords(now time.Time, all []StreamRecord) {
	f.lineage.Do(table.Hold{}, func(_ table.Hold, l *lineage.Records) {
		for _, r := range all {
			left := min(time.Duration(max(r.LeftMS, 0)), maxLife/time.Millisecond) * time.Millisecond
			age := min(time.Duration(max(r.AgeMS, 0)), maxLife/time.Millisecond) * time.Millisecond
			l.Keep(now, lineage.Record{
				Stream: r.Stream, Pool: r.Pool, Certain: r.Certain, Release: r.Release, Until: now.Add(left),
				Upstream: r.Upstream, StartedMS: r.StartedMS, BegunAt: now.Add(-age),
			})
		}
	})
}
