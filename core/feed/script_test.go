package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// follower is a router that follows a feed in a script.
type follower struct {
	now             time.Time
	progress        Progress
	reader, failing bool
}

type followerKey struct{}

var terms = Terms{Pause: time.Second, Late: 1500 * time.Millisecond}

// TestScripts runs the scripts in testdata. The pause is 1 s, late is 1.5 s.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[followerKey{}] = &follower{now: time.Unix(1000, 0)}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"all": with(func(ts *testscript.TestScript, f *follower, a []string) {
				f.progress.Reset(offset(ts, a[0]), f.now)
			}),
			"own":    with(func(ts *testscript.TestScript, f *follower, a []string) { part(ts, f, a, true) }),
			"told":   with(func(ts *testscript.TestScript, f *follower, a []string) { part(ts, f, a, false) }),
			"lose":   with(func(_ *testscript.TestScript, f *follower, _ []string) { f.progress.Lose() }),
			"is":     with(func(_ *testscript.TestScript, f *follower, a []string) { f.reader = a[0] == "reader" }),
			"store":  with(func(_ *testscript.TestScript, f *follower, a []string) { f.failing = a[0] == "fails" }),
			"after":  with(cmdAfter),
			"due":    with(cmdDue),
			"next":   with(cmdNext),
			"islate": with(cmdLate),
		},
	})
}

func with(run func(*testscript.TestScript, *follower, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f, ok := ts.Value(followerKey{}).(*follower)
		if !ok {
			ts.Fatalf("no follower")
		}
		run(ts, f, args)
	}
}

func offset(ts *testscript.TestScript, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	ts.Check(err)
	return n
}

// own FROM NEXT, told FROM NEXT: a part of the feed as read just now.
func part(ts *testscript.TestScript, f *follower, a []string, own bool) {
	from, next := offset(ts, a[0]), offset(ts, a[1])
	if f.progress.Fits(from, next) {
		f.progress.Took(next, f.now, own)
	}
}

func cmdAfter(ts *testscript.TestScript, f *follower, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	f.now = f.now.Add(d)
}

// due D: how long the router waits before it reads for itself.
func cmdDue(ts *testscript.TestScript, f *follower, a []string) {
	want, err := time.ParseDuration(a[0])
	ts.Check(err)
	if got := f.progress.Due(f.now, terms, f.reader, f.failing); got != want {
		ts.Fatalf("due: got %s, want %s", got, want)
	}
}

func cmdNext(ts *testscript.TestScript, f *follower, a []string) {
	if got, want := f.progress.Next, offset(ts, a[0]); got != want {
		ts.Fatalf("next: got %d, want %d", got, want)
	}
}

// islate true|false.
func cmdLate(ts *testscript.TestScript, f *follower, a []string) {
	if got, want := f.progress.Late(f.now, terms), a[0] == "true"; got != want {
		ts.Fatalf("late: got %t, want %t", got, want)
	}
}
