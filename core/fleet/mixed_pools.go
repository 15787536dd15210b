package fleet

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// A router that starts doesn't see the upstreams that have left before, and if all routers have
// ended, none remembers them. While a pool has several releases, the store therefore has a record
// of it (package lineage, MixedPools).

// mixedMargin is how much longer than the life of a stream the record of a pool stays after the
// pool was last mixed: routers see an upstream's leaving at different times.
const mixedMargin = 5 * time.Second

// followsSince returns the time from which on the router knows all changes of the upstreams.
func (f *Fleet) followsSince() time.Time {
	since := table.Read(f.feed, table.Hold{}, func(p *feed.Progress) time.Time { return p.ContinuousSince })
	if since.IsZero() {
		return f.started
	}
	return since
}

// MixedPoolWork returns what the router has to do at the store for the records of mixed pools:
// nothing before it knows the upstreams, or if no stream may be resumed or no upstream states its
// release.
func (f *Fleet) MixedPoolWork(now time.Time) lineage.MixedWork {
	c := f.Catalog()
	if _, synced := f.ReadOffset(); c == nil || !synced {
		return lineage.MixedWork{}
	}
	pools := f.poolReleases(now, longestLives(c))
	if len(pools) == 0 {
		return lineage.MixedWork{}
	}
	return table.Read(f.mixed, table.Hold{}, func(m *lineage.MixedPools) lineage.MixedWork { return m.Update(pools) })
}

// longestLives returns how long callers may resume streams, by pool.
func longestLives(c *catalog.Catalog) map[core.Pool]time.Duration {
	lives := map[core.Pool]time.Duration{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != catalog.Stream || !r.Deterministic {
			continue
		}
		for _, w := range r.Pools {
			lives[w.Pool] = max(lives[w.Pool], streamLife(r))
		}
	}
	return lives
}

// poolReleases returns how the router sees the pools of streams with the given lives, without
// those whose upstreams state no release, or whose streams live longer than removed upstreams are
// known: it is never sure of the releases of these.
func (f *Fleet) poolReleases(now time.Time, lives map[core.Pool]time.Duration) []lineage.PoolReleases {
	routers, _, _ := f.reachableRouters(now)
	known := now.Sub(f.followsSince())
	var all []lineage.PoolReleases
	for _, pool := range slices.Sorted(maps.Keys(lives)) {
		life := lives[pool]
		settling := min(life+mixedMargin, roster.RemovedRetention)
		var within, lately []string
		f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
			within, _ = u.roster.Releases(pool, now.Add(-life))
			lately, _ = u.roster.Releases(pool, now.Add(-settling))
		})
		if life > roster.RemovedRetention || len(within) == 0 || (len(within) == 1 && within[0] == "") {
			continue
		}
		all = append(all, lineage.PoolReleases{
			Pool: pool, Mixed: len(within) > 1, Settled: len(lately) == 1 && known >= settling,
			Rank: rankFor(chat.Key("mixed", string(pool), nil), routers, f.settings.ID),
		})
	}
	return all
}

// ApplyMixedPools applies the pools of which the store has a record.
func (f *Fleet) ApplyMixedPools(pools []core.Pool) {
	f.mixed.Do(table.Hold{}, func(_ table.Hold, m *lineage.MixedPools) { m.Apply(pools) })
}

// RecordMixedPoolWritten records that the router has written the record of a pool.
func (f *Fleet) RecordMixedPoolWritten(p core.Pool) {
	f.mixed.Do(table.Hold{}, func(_ table.Hold, m *lineage.MixedPools) { m.MarkWritten(p) })
}

// RecordMixedPoolRemoved records that the router has removed the record of a pool.
func (f *Fleet) RecordMixedPoolRemoved(p core.Pool) {
	f.mixed.Do(table.Hold{}, func(_ table.Hold, m *lineage.MixedPools) { m.MarkRemoved(p) })
}

// RecheckMixedPools records that the store has come back from an older copy, which may lack
// records.
func (f *Fleet) RecheckMixedPools() {
	f.mixed.Do(table.Hold{}, func(_ table.Hold, m *lineage.MixedPools) { m.Recheck() })
}
