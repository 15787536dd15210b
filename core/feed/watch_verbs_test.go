package feed

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func position(ts *testscript.TestScript, a []string) Position {
	return Position{Era: offset(ts, a[0]), Next: offset(ts, a[1])}
}

// watch-read ERA NEXT: the router has read the operators' records before NEXT.
func cmdWatchRead(ts *testscript.TestScript, r *router, a []string) {
	r.watch.Read(r.now, position(ts, a))
}

// watch-hear ERA NEXT: another router states that it has.
func cmdWatchHear(ts *testscript.TestScript, r *router, a []string) {
	r.watch.Hear(r.now, position(ts, a))
}

// watch-behind true|false: whether the router is to read again.
func cmdWatchBehind(ts *testscript.TestScript, r *router, a []string) {
	if got, want := r.watch.Behind(r.now), a[0] == "true"; got != want {
		ts.Fatalf("behind: got %t, want %t", got, want)
	}
}

// watch-wait SHORT RANK LIVE WANT: how long a read may wait.
func cmdWatchWait(ts *testscript.TestScript, r *router, a []string) {
	short, err := time.ParseDuration(a[0])
	ts.Check(err)
	rank, err := strconv.Atoi(a[1])
	ts.Check(err)
	live, err := strconv.Atoi(a[2])
	ts.Check(err)
	want, err := time.ParseDuration(a[3])
	ts.Check(err)
	if got := r.watch.Wait(short, rank, live); got != want {
		ts.Fatalf("wait: got %s, want %s", got, want)
	}
}
