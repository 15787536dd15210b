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
		wait: patiently(tables),
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
