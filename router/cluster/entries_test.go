package cluster

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// tablesOf returns a router's tables with a configuration.
func tablesOf(id string) *fleet.Fleet {
	tables := fleet.New(time.Now(), fleet.Settings{
		ID: core.RouterID(id), Drain: 100 * time.Millisecond,
		Entry: func(id core.UpstreamID, text []byte) (roster.Entry, error) {
			return roster.Entry{ID: id, Pool: "p", Address: "127.0.0.1:1", Source: text}, nil
		},
	})
	tables.Configure(&catalog.Catalog{Version: 1})
	return tables
}

// until lets a follower make steps until it has told so many parts.
func until(t *testing.T, e *entries, told *[]fleet.Read, want int) {
	t.Helper()
	for range 100 {
		if len(*told) >= want {
			return
		}
		e.step(t.Context())
	}
	t.Fatalf("parts told: got %d, want %d", len(*told), want)
}

// TestEntriesTold: what a reader has read it tells, and who is told has it too.
// An upstream that another router told of before is gone once the store was read
// and didn't show it.
func TestEntriesTold(t *testing.T) {
	entry := roster.Entry{ID: "u2", Pool: "p", Address: "127.0.0.1:2", Source: []byte("text")}
	store := &scriptedStore{steps: []readStep{{Events: []Event{{Entry: &entry}}}, {Events: []Event{{Removed: "u2"}}}}}
	reader, other := tablesOf("r1"), tablesOf("r2")
	other.ReadAll(time.Now(), time.Now(), 1, nil)
	var told []fleet.Read
	e := &entries{store: store, fleet: reader, log: zap.NewNop(), tell: func(r fleet.Read) { told = append(told, r) }}
	e.step(t.Context())
	reader.Receive(time.Now(), fleet.Member{ID: "r3"}, fleet.Message{Snapshot: &fleet.Snapshot{
		Entries: []fleet.EntryCopy{{Upstream: "u1", Source: []byte("old")}},
	}})
	until(t, e, &told, 1)
	changes := other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Read: &told[0]}).Changes
	if len(changes) != 1 || changes[0].ID != "u2" || changes[0].Kind != "new" {
		t.Errorf("changes at the other router: got %v, want u2 new", changes)
	}
	until(t, e, &told, 2)
	other.Receive(time.Now(), fleet.Member{ID: "r1"}, fleet.Message{Read: &told[1]})
	for _, tables := range []*fleet.Fleet{reader, other} {
		if got, want := tables.Ready(time.Now()), fleet.NoUpstreams; got != want {
			t.Errorf("router %s: got %q, want %q", tables.Self().ID, got, want)
		}
	}
}
