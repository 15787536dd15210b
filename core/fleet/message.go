package fleet

import (
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Message is a message between routers. Exactly one field is not nil.
type Message struct {
	Handshake       *Member
	Heartbeat       *Heartbeat
	SnapshotRequest *SnapshotRequest
	Snapshot        *Snapshot
	Segment         *FeedSegment
	Digest          *Digest
	FullUpstream    *FullUpstream
}

// Kind returns the name of the message's kind, for metrics; empty if it has no content.
func (m Message) Kind() string {
	switch {
	case m.Handshake != nil:
		return "handshake"
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.SnapshotRequest != nil:
		return "snapshot_request"
	case m.Snapshot != nil:
		return "snapshot"
	case m.Segment != nil:
		return "segment"
	case m.Digest != nil:
		return "digest"
	case m.FullUpstream != nil:
		return "full_upstream"
	}
	return ""
}

// Effects are the changes that a message has made, and the reply to it.
type Effects struct {
	// Reply is the reply; nil if the message needs none.
	Reply *Message
	// Forward holds messages to other routers.
	Forward []Envelope
	Changes []roster.Change
	// Version is that of the catalog that came into force; zero if none did.
	Version uint64
	// Errors are those of catalogs and entries that could not be parsed.
	Errors []error
}

// Heartbeat is the periodic message to the other routers of the data centre: the
// sender's current view, and what it has observed since its last heartbeat.
type Heartbeat struct {
	// Version is that of the catalog in force.
	Version uint64
	// UpstreamsInService is the number of upstreams that the sender knows and that may
	// get work.
	UpstreamsInService int
	Running            []Running
	Ejections          []Ejection
	// Results holds the upstreams that have failed requests since the last heartbeat.
	Results     []ResultCount
	CachedParts []prefix.CachedPart
	Crashes     []Crash
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
}

// Snapshot holds the data that a router needs to serve without the store.
type Snapshot struct {
	// Catalog is the text of the catalog; empty if the requester's is as new.
	Catalog     []byte
	Entries     []EntryCopy
	CachedParts []prefix.CachedPart
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
	if c := f.Catalog(); c != nil {
		b.Version = c.Version
	}
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
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		for _, id := range dropped {
			m.RemoveEngine(id)
		}
		m.Sweep(now)
		b.CachedParts = m.TakeUpdates()
	})
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		s.expireBroken(now)
		b.Crashes, s.unsent = s.unsent, nil
	})
	return b
}

// Receive applies a message from another router and returns its effects.
func (f *Fleet) Receive(now time.Time, from Member, m Message) Effects {
	f.markMemberSeen(now, from)
	switch {
	case m.Heartbeat != nil:
		return Effects{Reply: f.applyHeartbeat(now, from, *m.Heartbeat)}
	case m.SnapshotRequest != nil:
		return Effects{Reply: &Message{Snapshot: f.snapshot(now, *m.SnapshotRequest)}}
	case m.Snapshot != nil:
		return f.applySnapshot(now, *m.Snapshot)
	case m.Segment != nil:
		e := f.applyPeerSegment(now, *m.Segment)
		e.Forward = f.passOn(now, from, m)
		return e
	case m.FullUpstream != nil:
		f.applyFullUpstream(now, *m.FullUpstream)
		return Effects{Forward: f.passOn(now, from, m)}
	case m.Digest != nil:
		return Effects{Reply: f.applyDigest(now, from, *m.Digest)}
	}
	return Effects{}
}

// localSuccessWindow is how recent this router's own success at an upstream must be to
// override ejections by other routers.
const localSuccessWindow = 500 * time.Millisecond

// credible reports whether the sender's ejections are to be believed. A router that has
// ejected most upstreams is assumed to be partitioned itself.
func (b Heartbeat) credible() bool { return 2*len(b.Ejections) <= b.UpstreamsInService }

// applyHeartbeat applies a heartbeat and gathers it for the next digest. It returns a
// request for a snapshot if the router needs one, else nil.
func (f *Fleet) applyHeartbeat(now time.Time, from Member, b Heartbeat) *Message {
	counts := countsOf(b.Running)
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for id := range counts {
			st.get(id)
		}
		for id, s := range st.byID {
			s.load.ApplyPeer(now, from.ID, counts[id])
		}
	})
	newParts := f.applyObservations(now, b)
	f.digests.Do(table.Hold{}, func(_ table.Hold, d *digests) { d.toOthers.add(now, b, newParts) })
	return f.snapshotRequest(now, from, b)
}

// applyObservations applies what other routers have observed of upstreams, caches and
// requests. It returns the cached parts that were not known.
func (f *Fleet) applyObservations(now time.Time, b Heartbeat) []prefix.CachedPart {
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
	return table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []prefix.CachedPart {
		return m.AddFromPeer(now, b.CachedParts, f.maxCacheTokens())
	})
}

// snapshotRequest returns a request for a snapshot if the sender of a heartbeat or
// digest has a newer catalog, if it knows upstreams and this router has none in service,
// or if the router needs the cache contents that the sender knows; else nil.
func (f *Fleet) snapshotRequest(now time.Time, from Member, b Heartbeat) *Message {
	wantsParts := f.takeSnapshotRequest(from.ID)
	if own := f.CatalogVersion(); wantsParts || b.Version > own || (b.UpstreamsInService > 0 && !f.anyInService(now)) {
		return &Message{SnapshotRequest: &SnapshotRequest{Version: own, WithCachedParts: wantsParts}}
	}
	return nil
}

// CatalogVersion returns the version of the catalog in force; zero if there is none.
func (f *Fleet) CatalogVersion() uint64 {
	if c := f.Catalog(); c != nil {
		return c.Version
	}
	return 0
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

// snapshot returns the reply to a request for a snapshot.
func (f *Fleet) snapshot(now time.Time, w SnapshotRequest) *Snapshot {
	s := &Snapshot{}
	if c := f.Catalog(); c != nil && c.Version > w.Version {
		s.Catalog = c.Source
	}
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				s.Entries = append(s.Entries, EntryCopy{Upstream: up.ID, Source: up.Source})
			}
		}
	})
	if w.WithCachedParts {
		s.CachedParts = table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []prefix.CachedPart { return m.All(now) })
	}
	return s
}

// applySnapshot applies a snapshot. Its entries count as unconfirmed.
func (f *Fleet) applySnapshot(now time.Time, s Snapshot) Effects {
	var e Effects
	if len(s.Catalog) > 0 && f.settings.ParseCatalog != nil {
		c, err := f.settings.ParseCatalog(s.Catalog)
		if err != nil {
			e.Errors = append(e.Errors, err)
		} else if f.ApplyCatalog(c) {
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
