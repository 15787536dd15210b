package answer

import (
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type exchangeKey struct{}

// TestScripts runs the scripts in testdata. Each follows one request from its
// first attempt to what may be said of it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[exchangeKey{}] = &Exchange{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"request":  with(cmdRequest),
			"attempt":  with(func(_ *testscript.TestScript, e *Exchange, a []string) { e.Start(core.UpstreamID(a[0])) }),
			"mark":     with(cmdMark),
			"part":     with(cmdPart),
			"ends":     with(cmdEnds),
			"may":      with(cmdMay),
			"refusal":  with(cmdRefusal),
			"received": with(cmdReceived),
		},
	})
}

func with(run func(*testscript.TestScript, *Exchange, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		e, ok := ts.Value(exchangeKey{}).(*Exchange)
		if !ok {
			ts.Fatalf("no exchange")
		}
		run(ts, e, args)
	}
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// request [once] [same]: what kind of request it is.
func cmdRequest(_ *testscript.TestScript, e *Exchange, args []string) {
	for _, a := range args {
		e.Once = e.Once || a == "once"
		e.Same = e.Same || a == "same"
	}
}

var phases = map[string]Phase{
	"prepared": Prepared, "handed": Handed, "begun": Begun, "ended": Ended, "broken": Broken, "declined": Declined,
}

// mark ATTEMPT PHASE.
func cmdMark(ts *testscript.TestScript, e *Exchange, a []string) {
	e.Mark(number(ts, a[0]), phases[a[1]])
}

var verdicts = map[Verdict]string{Drop: "drop", Deliver: "deliver", Missing: "missing"}

// part ATTEMPT POSITION WANT: a part of an answer comes.
func cmdPart(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := verdicts[e.Part(number(ts, a[0]), number(ts, a[1]))], a[2]; got != want {
		ts.Fatalf("part %s of attempt %s: got %s, want %s", a[1], a[0], got, want)
	}
}

// ends ATTEMPT TOTAL WANT: an end mark comes.
func cmdEnds(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.End(number(ts, a[0]), number(ts, a[1])), a[2] == "yes"; got != want {
		ts.Fatalf("end of attempt %s: got %t, want %t", a[0], got, want)
	}
}

// may retry|resume WANT.
func cmdMay(ts *testscript.TestScript, e *Exchange, a []string) {
	got := e.MayRetry()
	if a[0] == "resume" {
		got = e.MayResume()
	}
	if want := a[1] == "yes"; got != want {
		ts.Fatalf("may %s: got %t, want %t", a[0], got, want)
	}
}

// refusal CERTAINTY: what a refusal would say now.
func cmdRefusal(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.Refuse(503, "x", "x").Certainty.String(), a[0]; got != want {
		ts.Fatalf("refusal: got %s, want %s", got, want)
	}
}

// received WANT: how many parts the caller has.
func cmdReceived(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.Delivered(), number(ts, a[0]); got != want {
		ts.Fatalf("received: got %d, want %d", got, want)
	}
}
