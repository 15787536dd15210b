package fleet

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// EntryCopy is the unparsed text of an upstream's entry.
type EntryCopy struct {
	Upstream core.UpstreamID
	Source   []byte
}

// SnapshotRequest requests a snapshot.
type SnapshotRequest struct {
	// Version is that of the requester's catalog.
	Version uint64
	// WithCachedParts is true if the known contents of the engines' caches are
	// requested.
	WithCachedParts bool
	// CatalogOnly is true if nothing but the catalog is requested.
	CatalogOnly bool
}

// Snapshot holds the data that a router needs to serve without the store.
type Snapshot struct {
	// Catalog is the text of the catalog; empty if the requester's is as new.
	Catalog []byte
	// Entries are those of the upstreams in use and of those that drain. Removed are the
	// last ones of upstreams that are gone: the copy from which a store has come back may
	// still hold them, or an older one of an upstream that drains.
	Entries     []EntryCopy
	Removed     []EntryCopy
	CachedParts []prefix.CachedPart
	// Suspects are the requests that were running when upstreams crashed. They come with the
	// cached parts.
	Suspects []poison.SuspectReport
	// Statements are what upstreams say about themselves.
	Statements []StatementReport
	// Rollouts are the states of the roll-outs.
	Rollouts []RolloutState
}

// snapshotRequest returns a request for a snapshot if the sender of a heartbeat or
// digest has a newer catalog, if it knows upstreams and this router has none in service,
// or if the router needs the cache contents that the sender knows; else nil. Only one
// router is asked at a time.
func (f *Fleet) snapshotRequest(now time.Time, from Member, b Heartbeat) *Message {
	own := f.Catalog()
	request := SnapshotRequest{Version: f.CatalogVersion(), WithCachedParts: f.takeSnapshotRequest(from.ID)}
	bare := b.UpstreamsInService > 0 && !f.anyInService(now)
	drawn := f.asks(now, from)
	due := table.Read(f.catalog, table.Hold{}, func(t *catalogs) bool {
		return (t.fetch.Wants(now, own, b.Version, agoMS(now, b.VersionAgeMS)) || bare) && drawn && t.fetch.Take(now, own)
	})
	if !due && !request.WithCachedParts {
		return nil
	}
	request.CatalogOnly = own != nil && !bare && !request.WithCachedParts
	return &Message{SnapshotRequest: &request}
}

// askersPerHeartbeat is how many of the routers that get a heartbeat request a snapshot from
// its sender, on average, if all want one.
const askersPerHeartbeat = 4

// asks reports at random whether the router requests a snapshot that it wants from the sender
// of a message: all routers of a data centre get a heartbeat at once, and the sender could
// serve few of them.
func (f *Fleet) asks(now time.Time, from Member) bool {
	_, neighbours := f.countAge(now)
	if from.DataCentre != f.settings.DataCentre || neighbours <= askersPerHeartbeat {
		return true
	}
	draw := chat.Score(chat.Key("", string(f.settings.ID), nil), string(from.ID)+strconv.FormatInt(now.UnixMilli(), 10))
	return draw%uint64(neighbours) < askersPerHeartbeat
}

// snapshot returns the reply to a request for a snapshot. It is empty if another router is
// just getting a copy: the requester then asks elsewhere. Requests for cache contents, of
// which a router makes few, are always served.
func (f *Fleet) snapshot(now time.Time, w SnapshotRequest) *Snapshot {
	s := &Snapshot{Rollouts: f.rolloutStates(now)}
	if c := f.Catalog(); c != nil && c.Version > w.Version {
		s.Catalog = c.Source
	}
	if !w.CatalogOnly {
		s.Statements = f.statementReports(now)
		s.Entries, s.Removed = f.entryCopies(now)
	}
	if w.WithCachedParts {
		s.CachedParts = table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []prefix.CachedPart { return m.All(now) })
		s.Suspects = table.Read(f.suspects, table.Hold{}, func(t *suspects) []poison.SuspectReport { return t.table.Reports(now) })
		return s
	}
	if !table.Read(f.catalog, table.Hold{}, func(t *catalogs) bool { return t.supply.Take(now, s.size()) }) {
		return &Snapshot{Rollouts: s.Rollouts}
	}
	return s
}

// RecordCatalogRead records whether a read of the operators' records in the store succeeded.
func (f *Fleet) RecordCatalogRead(succeeded bool) {
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) { t.fetch.StoreFails = !succeeded })
}

// size returns the number of bytes of the texts in the snapshot.
func (s *Snapshot) size() int {
	size := len(s.Catalog)
	for _, list := range [][]EntryCopy{s.Entries, s.Removed} {
		for _, copied := range list {
			size += len(copied.Source)
		}
	}
	return size
}

// entryCopies returns the entries of a snapshot.
func (f *Fleet) entryCopies(now time.Time) (entries, removed []EntryCopy) {
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			copied := EntryCopy{Upstream: up.ID, Source: up.Source}
			switch {
			case u.roster.AcceptsWork(now, up), up.Draining && up.RemovedAt.IsZero():
				entries = append(entries, copied)
			case !up.RemovedAt.IsZero() && up.RemovedInOutage == 0:
				if gone, ok := u.roster.LastRemoved(up); ok {
					removed = append(removed, EntryCopy{Upstream: up.ID, Source: gone.Source})
				}
			}
		}
	})
	return entries, removed
}

// applySnapshot applies a snapshot that took delayMS to arrive. Its entries count as unconfirmed.
func (f *Fleet) applySnapshot(now time.Time, s Snapshot, delayMS int64) Effects {
	var e Effects
	f.suspects.Do(table.Hold{}, func(_ table.Hold, t *suspects) {
		t.table.Merge(now, s.Suspects, time.Duration(delayMS)*time.Millisecond)
	})
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) { t.fetch.RecordReply() })
	for _, state := range s.Rollouts {
		// Before the entries: a router that doesn't know of an order must not use its target.
		if c := f.applyRolloutState(now, state, 0); c != nil {
			e.RolloutChanges = append(e.RolloutChanges, *c)
		}
	}
	if len(s.Catalog) > 0 && f.settings.ParseCatalog != nil {
		c, err := f.settings.ParseCatalog(s.Catalog)
		if err != nil {
			e.Errors = append(e.Errors, err)
		} else if f.ApplyCatalog(now, c) {
			e.Version = c.Version
		}
	}
	for _, copied := range s.Entries {
		entry, err := f.parseEntry(copied.Upstream, copied.Source)
		if err != nil {
			e.Errors = append(e.Errors, err)
			continue
		}
		e.Changes = append(e.Changes, f.changeRoster(now, table.Hold{}, func(r *roster.Roster) []roster.Change {
			return asList(r.PutUnconfirmed(now, *entry))
		})...)
	}
	for _, copied := range s.Removed {
		entry, err := f.parseEntry(copied.Upstream, copied.Source)
		if err != nil {
			e.Errors = append(e.Errors, err)
			continue
		}
		e.Changes = append(e.Changes, f.changeRoster(now, table.Hold{}, func(r *roster.Roster) []roster.Change {
			return asList(r.RemoveEntry(now, *entry))
		})...)
	}
	f.proveParts(s.CachedParts)
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.AddFromPeer(now, s.CachedParts, f.maxCacheTokens()) })
	return e
}

// parseEntry parses the text of an entry that another router has sent. It fails if the
// settings have no parser.
func (f *Fleet) parseEntry(id core.UpstreamID, source []byte) (*roster.Entry, error) {
	if f.settings.ParseEntry == nil {
		return nil, errors.Errorf("entry of upstream %s: no parser configured", id)
	}
	e, err := f.settings.ParseEntry(id, source)
	if err != nil {
		return nil, err
	}
	return &e, nil
}
