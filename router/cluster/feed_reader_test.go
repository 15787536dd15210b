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

// scriptedRead is the result of one Since call of a scripted store.
type scriptedRead struct {
	Wait   time.Duration
	Err    error
	Events []Event
}

// scriptedStore takes the results of Since from a list and records the wait of each
// call. Newest returns no events.
type scriptedStore struct {
	reads []scriptedRead
	waits []time.Duration
}

func (s *scriptedStore) Newest(context.Context, Feed) (Page, error) { return Page{Next: 1}, nil }

func (s *scriptedStore) Since(_ context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	read := s.reads[len(s.waits)]
	s.waits = append(s.waits, wait)
	return Page{Events: read.Events, Next: from + uint64(len(read.Events))}, read.Err
}

func (s *scriptedStore) Register(context.Context, fleet.Member) error    { return nil }
func (s *scriptedStore) Deregister(context.Context, core.RouterID) error { return nil }

// TestFeedReadDoesNotWaitAfterFailure guards against a delayed recovery: a long
// poll that was sent while the store did not respond hid a new configuration for
// 5 s (soak store-1, seed 823824403662). A read that follows a failed one must not
// wait for new records.
func TestFeedReadDoesNotWaitAfterFailure(t *testing.T) {
	store := &scriptedStore{reads: []scriptedRead{
		{}, {Err: errors.New("read timed out")}, {Err: errors.New("read timed out")},
		{Events: []Event{{Catalog: &catalog.Catalog{Version: 7}}}}, {},
	}}
	const pollWait = 2 * time.Second
	tables := fleet.New(time.Now(), fleet.Settings{ID: "r1"})
	r := &feedReader{
		feed: OperatorFeed, store: store, fleet: tables, log: zap.NewNop(),
		pollWait: pollWait,
	}
	for range 1 + len(store.reads) {
		r.step(t.Context())
	}
	want := []time.Duration{pollWait, pollWait, 0, 0, pollWait}
	for i, got := range store.waits {
		if got != want[i] {
			t.Errorf("wait of read %d: got %s, want %s", i, got, want[i])
		}
	}
	if got := tables.Catalog(); got == nil || got.Version != 7 {
		t.Errorf("catalog after the recovery of the store: got %v, want version 7", got)
	}
}

// TestPollEndsWithinRecovery guards against changes that are in force too late (CONFIG): a
// long poll that the store lost at the end of an outage kept every router of a large fleet
// from new configurations for longer than the time after which it must be up to date.
func TestPollEndsWithinRecovery(t *testing.T) {
	for _, recovery := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 8 * time.Second} {
		wait := longPollWait(recovery)
		if got := wait + PollMargin + initialBackoff; got >= recovery {
			t.Errorf("recovery time %s: got %s until the read after a lost one, want less", recovery, got)
		}
		if wait <= 0 {
			t.Errorf("recovery time %s: got a wait of %s, want a positive one", recovery, wait)
		}
	}
}
