package fleet

import (
	"time"

	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/table"
)

// RecordOperatorPosition records how far this router has read the operators' records.
func (f *Fleet) RecordOperatorPosition(now time.Time, p feed.Position) {
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) { t.watch.Read(now, p) })
}

// OperatorsBehind reports whether another router has read more of the operators' records for
// longer than the response to a read takes.
func (f *Fleet) OperatorsBehind(now time.Time) bool {
	return table.Read(f.catalog, table.Hold{}, func(t *catalogs) bool { return t.watch.Behind(now) })
}

// OperatorWait returns how long a read of the operators' records may wait. Short is the time
// where no other router tells of records.
func (f *Fleet) OperatorWait(now time.Time, short time.Duration) time.Duration {
	rank, live := f.localRank(now), f.liveNeighbours(now)
	return table.Read(f.catalog, table.Hold{}, func(t *catalogs) time.Duration { return t.watch.Wait(short, rank, live) })
}

// liveNeighbours returns the number of other routers of the data centre that were heard from
// recently. One that is only listed tells of nothing.
func (f *Fleet) liveNeighbours(now time.Time) int {
	return table.Read(f.members, table.Hold{}, func(t *members) int {
		n := 0
		for _, m := range t.byID {
			if m.DataCentre == f.settings.DataCentre && now.Sub(m.lastSeen) < relayTimeout {
				n++
			}
		}
		return n
	})
}

// operatorPosition returns how far this router has read the operators' records.
func (f *Fleet) operatorPosition() feed.Position {
	return table.Read(f.catalog, table.Hold{}, func(t *catalogs) feed.Position { return t.watch.Own })
}

// hearOperatorPosition records how far another router has read.
func (f *Fleet) hearOperatorPosition(now time.Time, p feed.Position) {
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) { t.watch.Hear(now, p) })
}
