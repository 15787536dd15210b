package config

import (
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type trackersKey struct{}

// trackers holds the trackers of a script by name.
type trackers map[string]*Tracker

// TestScripts runs the scripts in testdata. Each has one or more trackers of one log.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[trackersKey{}] = trackers{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"apply-proposal": with(cmdApplyProposal),
			// trim TRACKER EARLIEST: the log no longer holds records before EARLIEST.
			"trim": with(func(ts *testscript.TestScript, t *Tracker, a []string) { t.LogTrimmed(offset(ts, a[0])) }),
			// other-record TRACKER OFFSET: the record at OFFSET is no proposal.
			"other-record":   with(func(ts *testscript.TestScript, t *Tracker, a []string) { t.Skip(offset(ts, a[0])) }),
			"in-force":       with(cmdInForce),
			"apply-snapshot": cmdApplySnapshot,
		},
	})
}

func tracker(ts *testscript.TestScript, name string) *Tracker {
	all, ok := ts.Value(trackersKey{}).(trackers)
	if !ok {
		ts.Fatalf("no trackers")
	}
	if all[name] == nil {
		all[name] = &Tracker{}
	}
	return all[name]
}

func with(run func(*testscript.TestScript, *Tracker, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		run(ts, tracker(ts, args[0]), args[1:])
	}
}

func offset(ts *testscript.TestScript, text string) core.Offset {
	n, err := strconv.ParseUint(text, 10, 64)
	ts.Check(err)
	return core.Offset(n)
}

// apply-proposal TRACKER OFFSET BASE WANT: the tracker applies a proposal; WANT is
// in-force, void, pending if it waits for a snapshot, or known if it was decided
// before.
func cmdApplyProposal(ts *testscript.TestScript, t *Tracker, a []string) {
	before := t.InForce().Number
	err := t.ApplyProposal(offset(ts, a[0]), Proposal{Base: offset(ts, a[1]), Text: []byte(a[0])})
	var void *VoidError
	var gap *GapError
	got := "known"
	switch {
	case errors.As(err, &void):
		got = "void"
	case errors.As(err, &gap):
		got = "pending"
	case t.InForce().Number != before:
		got = "in-force"
	}
	if want := a[2]; got != want {
		ts.Fatalf("proposal %s: got %s, want %s", a[0], got, want)
	}
}

// in-force TRACKER NUMBER [awaiting-snapshot]: checks the revision in force and whether
// the tracker waits for a snapshot.
func cmdInForce(ts *testscript.TestScript, t *Tracker, a []string) {
	if got, want := t.InForce().Number, offset(ts, a[0]); got != want {
		ts.Fatalf("in force: got %d, want %d", got, want)
	}
	if got, want := t.AwaitingSnapshot(), len(a) > 1; got != want {
		ts.Fatalf("awaiting snapshot: got %t, want %t", got, want)
	}
}

// apply-snapshot TRACKER FROM: the tracker applies the snapshot of another one.
func cmdApplySnapshot(ts *testscript.TestScript, _ bool, a []string) {
	tracker(ts, a[0]).ApplySnapshot(tracker(ts, a[1]).Snapshot())
}
