package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/prefix"
)

// encodeRecords leaves out the parsed entries: the receiver parses them from Source.
func encodeRecords(all []fleet.Record) []fleetRecord {
	return lo.Map(all, func(r fleet.Record, _ int) fleetRecord {
		return fleetRecord{Offset: r.Offset, Upstream: r.Upstream, Source: r.Source}
	})
}

func decodeRecords(all []fleetRecord) []fleet.Record {
	return lo.Map(all, func(r fleetRecord, _ int) fleet.Record {
		return fleet.Record{Offset: r.Offset, Upstream: r.Upstream, Source: r.Source}
	})
}

func encodeEntries(all []fleet.EntryCopy) []fleetEntry {
	return lo.Map(all, func(e fleet.EntryCopy, _ int) fleetEntry { return fleetEntry(e) })
}

func decodeEntries(all []fleetEntry) []fleet.EntryCopy {
	return lo.Map(all, func(e fleetEntry, _ int) fleet.EntryCopy { return fleet.EntryCopy(e) })
}

func encodeCachedParts(all []prefix.CachedPart) []fleetCachedPart {
	return lo.Map(all, func(h prefix.CachedPart, _ int) fleetCachedPart {
		return fleetCachedPart{Upstream: h.Upstream, Part: h.Part.ID, Tokens: h.Part.Tokens, FromInventory: h.FromInventory}
	})
}

func decodeCachedParts(all []fleetCachedPart) []prefix.CachedPart {
	return lo.Map(all, func(h fleetCachedPart, _ int) prefix.CachedPart {
		return prefix.CachedPart{Upstream: h.Upstream, Part: prefix.Part{ID: h.Part, Tokens: h.Tokens}, FromInventory: h.FromInventory}
	})
}
