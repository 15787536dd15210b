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
	Era    uint64
}

// scriptedStore takes the results of Since from a list and records the wait of each
// call. Newest returns the results of another list, or no events if it is empty.
type scriptedStore struct {
	reads  []scriptedRead
	waits  []time.Duration
	newest []scriptedRead
	// registrations is the number of calls of Register.
	registrations int
}

func (s *scriptedStore) Newest(context.Context, Feed) (Page, error) {
	if len(s.newest) == 0 {
		return Page{Next: 1}, nil
	}
	read := s.newest[0]
	s.newest = s.newest[1:]
	return Page{Events: read.Events, Next: 1, Era: read.Era}, read.Err
}

func (s *scriptedStore) Since(_ context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	read := s.reads[len(s.waits)]
	s.waits = append(s.waits, wait)
	return Page{Events: read.Events, Next: from + uint64(len(read.Events)), Era: read.Era}, read.Err
}

func (s *scriptedStore) Register(context.Context, fleet.Member) error {
	s.registrations++
	return nil
}

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

// catalogEvent returns the record of a configuration.
func catalogEvent(version uint64) Event { return Event{Catalog: &catalog.Catalog{Version: version}} }

// TestRestoredStoreIsReadWhole guards against a confirmed configuration that isn't in force
// in time (CONFIG): after the store had come back from an older copy, its new log had passed
// the offset of a router, which got no error, and missed the records before the offset. A
// late response of the lost history changes nothing.
func TestRestoredStoreIsReadWhole(t *testing.T) {
	store := &scriptedStore{
		newest: []scriptedRead{{Era: 1, Events: []Event{catalogEvent(7)}}, {Era: 2, Events: []Event{catalogEvent(9)}}},
		reads:  []scriptedRead{{Era: 1}, {Era: 2, Events: []Event{{}}}, {Era: 1, Events: []Event{catalogEvent(11)}}, {Era: 2}},
	}
	tables := fleet.New(time.Now(), fleet.Settings{ID: "r1"})
	r := &feedReader{
		feed: OperatorFeed, store: store, fleet: tables, log: zap.NewNop(),
	}
	for i, want := range []uint64{7, 7, 7, 9, 9, 9} {
		r.step(t.Context())
		if got := tables.CatalogVersion(); got != want {
			t.Fatalf("version after step %d: got %d, want %d", i+1, got, want)
		}
	}
}
