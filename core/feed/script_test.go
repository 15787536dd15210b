package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// router is the router that follows the feed in a script.
type router struct {
	now             time.Time
	progress        Progress
	watch           Watch
	reader, failing bool
	// era is that of the batches.
	era uint64
}

type routerKey struct{}

var timing = Timing{ReadInterval: time.Second, MaxAge: 1500 * time.Millisecond}

// TestScripts runs the scripts in testdata. The read interval is 1 s, the maximum
// age 1.5 s.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[routerKey{}] = &router{now: time.Unix(1000, 0)}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// read-all NEXT: the router reads the whole feed, which ends before NEXT.
			"read-all": with(func(ts *testscript.TestScript, r *router, a []string) {
				r.progress.Reset(r.era, offset(ts, a[0]), r.now)
			}),
			"read":    with(func(ts *testscript.TestScript, r *router, a []string) { batch(ts, r, a, true) }),
			"receive": with(func(ts *testscript.TestScript, r *router, a []string) { batch(ts, r, a, false) }),
			// era N: the era of the store from which the next batches are read.
			"era": with(func(ts *testscript.TestScript, r *router, a []string) { r.era = offset(ts, a[0]) }),
			// drop-records: the store drops records that were not read.
			"drop-records": with(func(_ *testscript.TestScript, r *router, _ []string) { r.progress.MarkUnsynced() }),
			// role reader|other: whether the router is one of the readers.
			"role": with(func(_ *testscript.TestScript, r *router, a []string) { r.reader = a[0] == "reader" }),
			// store fails|answers: whether the router's last read failed.
			"store":      with(func(_ *testscript.TestScript, r *router, a []string) { r.failing = a[0] == "fails" }),
			"advance":    with(cmdAdvance),
			"read-delay": with(cmdReadDelay),
			"next":       with(cmdNext),
			"stale":      with(cmdStale),

			"watch-read":   with(cmdWatchRead),
			"watch-hear":   with(cmdWatchHear),
			"watch-behind": with(cmdWatchBehind),
			"watch-wait":   with(cmdWatchWait),
		},
	})
}

func with(run func(*testscript.TestScript, *router, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		r, ok := ts.Value(routerKey{}).(*router)
		if !ok {
			ts.Fatalf("no router")
		}
		run(ts, r, args)
	}
}

func offset(ts *testscript.TestScript, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	ts.Check(err)
	return n
}

// read FROM NEXT, receive FROM NEXT: the router reads a batch of records from the
// store, or receives it from another router that has just read it.
func batch(ts *testscript.TestScript, r *router, a []string, fromStore bool) {
	from, next := offset(ts, a[0]), offset(ts, a[1])
	if !r.progress.Outdated(r.era) && r.progress.CheckContinuity(r.era, from, next) {
		r.progress.Advance(next, r.now, fromStore)
	}
}

// advance DURATION: moves the clock.
func cmdAdvance(ts *testscript.TestScript, r *router, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	r.now = r.now.Add(d)
}

// read-delay WANT: how long the router waits before it reads from the store.
func cmdReadDelay(ts *testscript.TestScript, r *router, a []string) {
	want, err := time.ParseDuration(a[0])
	ts.Check(err)
	if got := r.progress.ReadDelay(r.now, timing, r.reader, r.failing); got != want {
		ts.Fatalf("read delay: got %s, want %s", got, want)
	}
}

// next WANT: the offset of the next record.
func cmdNext(ts *testscript.TestScript, r *router, a []string) {
	if got, want := r.progress.Next, offset(ts, a[0]); got != want {
		ts.Fatalf("next: got %d, want %d", got, want)
	}
}

// stale true|false: whether the router's view is too old.
func cmdStale(ts *testscript.TestScript, r *router, a []string) {
	if got, want := r.progress.Stale(r.now, timing), a[0] == "true"; got != want {
		ts.Fatalf("stale: got %t, want %t", got, want)
	}
}
