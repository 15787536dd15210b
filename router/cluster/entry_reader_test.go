package cluster

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// newFleet returns the fleet tables of a router that has a configuration.
func newFleet(id string) *fleet.Fleet {
	tables := fleet.New(time.Now(), fleet.Settings{
		ID: core.RouterID(id), Drain: 100 * time.Millisecond,
		ParseEntry: func(id core.UpstreamID, text []byte) (roster.Entry, error) {
			if string(text) == "unreadable" {
				return roster.Entry{}, errors.New("not an entry")
			}
			return roster.Entry{ID: id, Pool: "p", Address: "127.0.0.1:1", Source: text}, nil
		},
	})
	tables.ApplyCatalog(time.Now(), &catalog.Catalog{Version: 1})
	return tables
}

// stepUntil calls step, at most 100 times, until want segments have been sent.
func stepUntil(t *testing.T, e *entryReader, sent *[]fleet.FeedSegment, want int) {
	t.Helper()
	for range 100 {
		if len(*sent) >= want {
			return
		}
		e.step(t.Context())
	}
	t.Fatalf("sent segments after 100 steps: got %d, want %d", len(*sent), want)
}

// TestEntryReaderNotifiesPeers checks that a router sends the entries that it reads
// from the store to another router, which applies them, and that both remove an
// upstream when the store does. An unconfirmed entry that a third router reported
// is removed once a later read of the store doesn't show it.
func TestEntryReaderNotifiesPeers(t *testing.T) {
	entry := roster.Entry{ID: "u2", Pool: "p", Address: "127.0.0.1:2", Source: []byte("text")}
	store := &scriptedStore{reads: []scriptedRead{{Events: []Event{{Entry: &entry}}}, {Events: []Event{{RemovedUpstream: "u2"}}}}}
	reader, other := newFleet("r1"), newFleet("r2")
	other.ApplyFullRead(time.Now(), time.Now(), 0, 1, nil)
	var sent []fleet.FeedSegment
	e := &entryReader{store: store, fleet: reader, log: zap.NewNop(), notifyPeers: func(s fleet.FeedSegment) { sent = append(sent, s) }}
	e.step(t.Context())
	reader.Receive(time.Now(), fleet.Member{ID: "r3"}, fleet.Message{Snapshot: &fleet.Snapshot{
		Entries: []fleet.EntryCopy{{Upstream: "u1", Source: []byte("old")}},
	}})
	stepUntil(t, e, &sent, 1)
	changes := other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Segment: &sent[0]}).Changes
	if len(changes) != 1 || changes[0].ID != "u2" || changes[0].Kind != "new" {
		t.Errorf("changes at router r2 after the first segment: got %v, want u2 new", changes)
	}
	stepUntil(t, e, &sent, 2)
	other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Segment: &sent[1]})
	for _, tables := range []*fleet.Fleet{reader, other} {
		if got, want := tables.Readiness(time.Now()), fleet.NoUpstreams; got != want {
			t.Errorf("readiness of router %s after the removal of u2: got %q, want %q", tables.Settings().ID, got, want)
		}
	}
}

// TestInvalidEntryChangesNothing guards against the loss of a sound upstream (LOST): a record
// of another writer under its key, which can't be parsed, removed it at all routers until its
// next entry. The readers go on, and the others are told of nothing.
func TestInvalidEntryChangesNothing(t *testing.T) {
	entry := roster.Entry{ID: "u1", Pool: "p", Address: "127.0.0.1:1", Source: []byte("text")}
	later := roster.Entry{ID: "u2", Pool: "p", Address: "127.0.0.1:2", Source: []byte("text")}
	invalid := Event{InvalidUpstream: "u1", Err: errors.New("not an entry")}
	store := &scriptedStore{reads: []scriptedRead{{Events: []Event{{Entry: &entry}}}, {Events: []Event{invalid, {Entry: &later}}}}}
	reader, other := newFleet("r1"), newFleet("r2")
	other.ApplyFullRead(time.Now(), time.Now(), 0, 1, nil)
	var sent []fleet.FeedSegment
	e := &entryReader{store: store, fleet: reader, log: zap.NewNop(), notifyPeers: func(s fleet.FeedSegment) { sent = append(sent, s) }}
	stepUntil(t, e, &sent, 2)
	for _, s := range sent {
		other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Segment: &s})
	}
	checkUpstreams := func(when string) {
		t.Helper()
		for _, tables := range []*fleet.Fleet{reader, other} {
			if got := len(tables.Status(time.Now()).Upstreams); got != 2 {
				t.Errorf("upstreams of router %s %s: got %d, want 2", tables.Settings().ID, when, got)
			}
			for _, u := range tables.Status(time.Now()).Upstreams {
				if u.Exclusion != fleet.NotExcluded {
					t.Errorf("upstream %s of router %s %s: got %q, want in use", u.ID, tables.Settings().ID, when, u.Exclusion)
				}
			}
		}
	}
	checkUpstreams("after the invalid record")
	store.newest = []scriptedRead{{Events: []Event{invalid, {Entry: &later}}}}
	reader.MarkRecordsMissed()
	e.step(t.Context())
	checkUpstreams("after a full read that shows it as the newest")
	// A router that has parsed what this one can't sends the text.
	other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Segment: &fleet.FeedSegment{
		From: 4, Next: 5, Records: []fleet.Record{{Offset: 4, Upstream: "u1", Source: []byte("unreadable")}},
	}})
	checkUpstreams("after a record that can't be parsed was received")
}
