package config

import (
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type readersKey struct{}

type readers map[string]*Reader

// TestScripts runs the scripts in testdata. Each has several readers of one log.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[readersKey{}] = readers{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"propose":      with(cmdPropose),
			"trim":         with(func(ts *testscript.TestScript, r *Reader, a []string) { r.LogTrimmed(offset(ts, a[0])) }),
			"other-record": with(func(ts *testscript.TestScript, r *Reader, a []string) { r.Skip(offset(ts, a[0])) }),
			"in-force":     with(cmdInForce),
			"snapshot":     cmdApplySnapshot,
		},
	})
}

func reader(ts *testscript.TestScript, name string) *Reader {
	all, ok := ts.Value(readersKey{}).(readers)
	if !ok {
		ts.Fatalf("no readers")
	}
	if all[name] == nil {
		all[name] = &Reader{}
	}
	return all[name]
}

func with(run func(*testscript.TestScript, *Reader, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		run(ts, reader(ts, args[0]), args[1:])
	}
}

func offset(ts *testscript.TestScript, text string) core.Offset {
	n, err := strconv.ParseUint(text, 10, 64)
	ts.Check(err)
	return core.Offset(n)
}

// propose READER OFFSET BASE WANT: the reader applies a proposal; want is in-force,
// void, pending or known.
func cmdPropose(ts *testscript.TestScript, r *Reader, a []string) {
	before := r.InForce().Number
	err := r.ApplyProposal(offset(ts, a[0]), Proposal{Base: offset(ts, a[1]), Text: []byte(a[0])})
	var void *VoidError
	var gap *GapError
	got := "known"
	switch {
	case errors.As(err, &void):
		got = "void"
	case errors.As(err, &gap):
		got = "pending"
	case r.InForce().Number != before:
		got = "in-force"
	}
	if want := a[2]; got != want {
		ts.Fatalf("proposal %s: got %s, want %s", a[0], got, want)
	}
}

// in-force READER NUMBER [gap]: checks the revision in force and whether the reader
// waits for a snapshot.
func cmdInForce(ts *testscript.TestScript, r *Reader, a []string) {
	if got, want := r.InForce().Number, offset(ts, a[0]); got != want {
		ts.Fatalf("in force: got %d, want %d", got, want)
	}
	if got, want := r.AwaitingSnapshot(), len(a) > 1; got != want {
		ts.Fatalf("gap: got %t, want %t", got, want)
	}
}

// snapshot READER FROM: the reader applies the snapshot of another one.
func cmdApplySnapshot(ts *testscript.TestScript, _ bool, a []string) {
	reader(ts, a[0]).ApplySnapshot(reader(ts, a[1]).Snapshot())
}
