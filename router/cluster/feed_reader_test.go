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
	"camphorpulley.org/core/rollout"
)

// scriptedRead is the result of one Since call of a scripted store.
type scriptedRead struct {
	Wait   time.Duration
	Err    error
	Events []Event
	Era    uint64
	// Held is true if the store holds the read until the caller's context ends.
	Held bool
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

func (s *scriptedStore) Since(ctx context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	read := s.reads[len(s.waits)]
	s.waits = append(s.waits, wait)
	if read.Held {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
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
	notified := 0
	r := &feedReader{
		feed: OperatorFeed, store: store, fleet: tables, log: zap.NewNop(), restoreGrace: time.Hour, restored: func() { notified++ },
	}
	for i, want := range []uint64{7, 7, 7, 9, 9, 9} {
		r.step(t.Context())
		if got := tables.CatalogVersion(); got != want {
			t.Fatalf("version after step %d: got %d, want %d", i+1, got, want)
		}
	}
	if notified != 1 {
		t.Errorf("notifications of the restored store: got %d, want 1", notified)
	}
}

// TestRestoredStoreEndsPoll guards against a confirmed configuration that isn't in force in time
// (CONFIG): a read of the operators' feed waited for an offset of the history that the store had
// lost, while the reader of the upstreams' feed knew that it was lost.
func TestRestoredStoreEndsPoll(t *testing.T) {
	store := &scriptedStore{
		newest: []scriptedRead{{Era: 1, Events: []Event{catalogEvent(7)}}, {Era: 2, Events: []Event{catalogEvent(9)}}},
		reads:  []scriptedRead{{Held: true}},
	}
	tables := fleet.New(time.Now(), fleet.Settings{ID: "r1"})
	operators := &feedReader{
		feed: OperatorFeed, store: store, fleet: tables, log: zap.NewNop(), pollWait: time.Hour, restoreGrace: time.Hour, eraEnded: newSignal(),
	}
	upstreams := &entryReader{
		store: &scriptedStore{newest: []scriptedRead{{Era: 1}}, reads: []scriptedRead{{Era: 2}}}, fleet: tables, log: zap.NewNop(), eraEnded: operators.eraEnded.notify,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 2 {
		if err := upstreams.read(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		operators.step(ctx)
	}
	if got := tables.CatalogVersion(); got != 9 || ctx.Err() != nil {
		t.Errorf("after the restore: got version %d and error %v, want 9 and none", got, ctx.Err())
	}
}

// TestRestoredStoreKeepsEvacuation guards against requests to a data centre that is out of
// service (EVAC): the copy from which the store comes back may lack the record that has
// taken it out, until that is written again. After the grace, what the store says holds.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	const grace = 50 * time.Millisecond
	store := &scriptedStore{
		newest: []scriptedRead{{Era: 1, Events: []Event{{OutOfService: "b"}}}, {Era: 2}, {Era: 2}},
		reads:  []scriptedRead{{Era: 2}, {Era: 2}, {Era: 2}},
	}
	r := &feedReader{
		feed: OperatorFeed, store: store, fleet: fleet.New(time.Now(), fleet.Settings{ID: "r1"}), log: zap.NewNop(), restoreGrace: grace,
	}
	for range 4 {
		r.step(t.Context())
		if !r.outOfService["b"] {
			t.Fatal("data centre b: got in service after the store was restored, want out of service")
		}
	}
	time.Sleep(2 * grace)
	r.step(t.Context())
	if r.outOfService["b"] {
		t.Error("data centre b: got out of service after the grace, want in service as the store says")
	}
}

// TestRestoredStoreGetsRegistration guards against routers that don't know each other after
// the store has come back from an older copy: those that start later read no record of one
// whose registration was lost, and each takes too large a share of what is shared.
func TestRestoredStoreGetsRegistration(t *testing.T) {
	store := &scriptedStore{}
	r := &Router{
		adapter: Adapter{Store: store}, fleet: fleet.New(time.Now(), fleet.Settings{ID: "r1"}), log: zap.NewNop(), storeRestored: newSignal(),
	}
	step := r.registrationStep(fleet.Member{ID: "r1"})
	step(t.Context())
	if store.registrations != 1 {
		t.Fatalf("registrations at first: got %d, want 1", store.registrations)
	}
	r.storeRestored.notify()
	step(t.Context())
	step(t.Context())
	if store.registrations != 2 {
		t.Errorf("registrations after the store was restored: got %d, want 2", store.registrations)
	}
}

// TestLateOrder guards against a roll-out that ends after its deadline: an order that was read
// only when the store was back may have been written at any time since the last read before. At
// least half of the time is left for it.
func TestLateOrder(t *testing.T) {
	for _, c := range []struct {
		name        string
		fails       int
		duration    time.Duration
		least, most time.Duration
	}{
		{"read at once", 0, time.Minute, 0, 250 * time.Millisecond},
		{"read after failures", 2, time.Minute, 250 * time.Millisecond, 10 * time.Second},
		{"short", 2, 400 * time.Millisecond, 200 * time.Millisecond, 290 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			reads := []scriptedRead{{}}
			for range c.fails {
				reads = append(reads, scriptedRead{Err: errors.New("read timed out")})
			}
			order := rollout.Order{Pool: "p", Target: "v2", Duration: c.duration, Offset: 4}
			reads = append(reads, scriptedRead{Events: []Event{{Order: &order}}})
			tables := fleet.New(time.Now(), fleet.Settings{ID: "r1", Rollout: rollout.Limits{Share: 0.1}})
			r := &feedReader{feed: OperatorFeed, store: &scriptedStore{reads: reads}, fleet: tables, log: zap.NewNop(), pollWait: time.Second}
			for range 1 + len(reads) {
				r.step(t.Context())
			}
			all := tables.Rollouts(time.Now())
			if len(all) != 1 {
				t.Fatalf("roll-outs: got %d, want one", len(all))
			}
			if age := time.Duration(all[0].AgeMS) * time.Millisecond; age < c.least || age > c.most {
				t.Errorf("age of the order: got %s, want %s to %s", age, c.least, c.most)
			}
		})
	}
}
