package fleet

import (
	"time"

	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/table"
)

// What routers know of parts of prompts that crash engines ends with them, and if all have ended,
// such a part would crash engines anew. While requests with a part are refused, the store therefore
// has a record of it (package poison, StoredParts).

// maxPartRecordWriters is how many routers keep the record of refused parts up to date: the store
// may refuse some of them.
const maxPartRecordWriters = 4

// PartRecordWork returns what the router has to do at the store for the record of refused parts:
// nothing while no pool has engines, which alone answer on parts.
func (f *Fleet) PartRecordWork(now time.Time) poison.RecordWork {
	if c := f.Catalog(); c == nil || !hasEngines(c) {
		return poison.RecordWork{}
	}
	work := table.Read(f.suspects, table.Hold{}, func(s *suspects) poison.RecordWork { return s.stored.Work(now, &s.parts) })
	if work.Write {
		routers, _, _ := f.reachableRouters(now)
		work.Write = rankFor(chat.Key("refused parts", "", nil), routers, f.settings.ID) < maxPartRecordWriters
	}
	return work
}

// hasEngines reports whether a pool has model engines.
func hasEngines(c *catalog.Catalog) bool {
	for _, p := range c.Pools {
		if p.Engine != nil {
			return true
		}
	}
	return false
}

// ApplyPartRecord applies the record in the store.
func (f *Fleet) ApplyPartRecord(now time.Time, r poison.PartRecord) []poison.Change {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []poison.Change { return s.stored.Apply(now, &s.parts, r) })
}

// NextPartRecord returns the record that is to be written.
func (f *Fleet) NextPartRecord(now time.Time) poison.PartRecord {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) poison.PartRecord { return s.stored.Next(now, &s.parts) })
}

// RecordPartRecordWritten records that the router has written a record.
func (f *Fleet) RecordPartRecordWritten(r poison.PartRecord) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) { s.stored.MarkWritten(r) })
}

// RecheckPartRecord records that the store has come back from an older copy, which may lack the
// record.
func (f *Fleet) RecheckPartRecord() {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) { s.stored.Recheck() })
}
