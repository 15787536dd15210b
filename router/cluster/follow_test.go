package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// readStep is one read that a script expects and what it answers.
type readStep struct {
	Wait   time.Duration
	Err    error
	Events []Event
}

// scriptedStore answers reads from a script and records how long each waited.
type scriptedStore struct {
	steps []readStep
	waits []time.Duration
}

func (s *scriptedStore) Newest(context.Context, Feed) (Page, error) { return Page{Next: 1}, nil }

func (s *scriptedStore) Since(_ context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	step := s.steps[len(s.waits)]
	s.waits = append(s.waits, wait)
	return Page{Events: step.Events, Next: from + uint64(len(step.Events))}, step.Err
}

func (s *scriptedStore) Announce(context.Context, fleet.Member) error  { return nil }
func (s *scriptedStore) Withdraw(context.Context, core.RouterID) error { return nil }

// TestReadAfterFailure: a read that follows a failed one doesn't wait, so that
// the return of the store is seen at once. Found by hunting store-1 with seed
// 823824403662: a long read that was sent while the store was silent hid a
// configuration for five seconds.
func TestReadAfterFailure(t *testing.T) {
	store := &scriptedStore{steps: []readStep{
		{}, {Err: errors.New("time-out")}, {Err: errors.New("time-out")},
		{Events: []Event{{Catalog: &catalog.Catalog{Version: 7}}}}, {},
	}}
	tables := fleet.New(time.Now(), fleet.Settings{ID: "r1"})
	f := &follower{
		feed: Operators, store: store, fleet: tables, log: zap.NewNop(),
		wait: patiently(tables), pause: never,
	}
	for range 1 + len(store.steps) {
		f.step(t.Context())
	}
	want := []time.Duration{longPoll, longPoll, 0, 0, longPoll}
	for i, got := range store.waits {
		if got != want[i] {
			t.Errorf("read %d: got a wait of %s, want %s", i, got, want[i])
		}
	}
	if got := tables.Current(); got == nil || got.Version != 7 {
		t.Errorf("catalog after the store's return: got %v, want version 7", got)
	}
}

// TestHeardEntry: an upstream that another router told of is gone once the store
// was read and didn't show it.
func TestHeardEntry(t *testing.T) {
	tables := fleet.New(time.Now(), fleet.Settings{
		ID: "r1",
		Entry: func(id core.UpstreamID, _ []byte) (roster.Entry, error) {
			return roster.Entry{ID: id, Pool: "p", Address: "127.0.0.1:1"}, nil
		},
	})
	tables.Configure(&catalog.Catalog{Version: 1})
	f := &follower{
		feed: Upstreams, store: &scriptedStore{steps: []readStep{{}}}, fleet: tables, log: zap.NewNop(),
		wait: never, pause: never,
	}
	f.step(t.Context())
	beat := fleet.Beat{Entries: []fleet.EntryCopy{{Upstream: "u1"}}}
	tables.Receive(time.Now(), fleet.Member{ID: "r2"}, fleet.Message{Beat: &beat})
	if got, want := tables.Ready(time.Now()), fleet.Serving; got != want {
		t.Fatalf("ready with an entry that was heard: got %q, want %q", got, want)
	}
	f.step(t.Context())
	if got, want := tables.Ready(time.Now()), fleet.NoUpstreams; got != want {
		t.Errorf("ready after the store was read: got %q, want %q", got, want)
	}
}
