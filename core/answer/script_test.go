package answer

import (
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type exchangeKey struct{}

// TestScripts runs the scripts in testdata. Each follows one request from its first
// attempt to its answer or refusal.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[exchangeKey{}] = &Exchange{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"request":       with(cmdRequest),
			"start-attempt": with(func(_ *testscript.TestScript, e *Exchange, a []string) { e.StartAttempt(core.UpstreamID(a[0])) }),
			"set-phase":     with(cmdSetPhase),
			"chunk":         with(cmdChunk),
			"end":           with(cmdEnd),
			"may":           with(cmdMay),
			"refusal":       with(cmdRefusal),
			"delivered":     with(cmdDelivered),
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

// request [at-most-once] [deterministic]: sets the kind of the request.
func cmdRequest(_ *testscript.TestScript, e *Exchange, args []string) {
	for _, a := range args {
		e.AtMostOnce = e.AtMostOnce || a == "at-most-once"
		e.Deterministic = e.Deterministic || a == "deterministic"
	}
}

var phaseByName = map[string]Phase{
	"prepared": Prepared, "sent": Sent, "answering": Answering, "completed": Completed, "failed": Failed, "declined": Declined,
}

// set-phase ATTEMPT PHASE: an attempt reaches a phase.
func cmdSetPhase(ts *testscript.TestScript, e *Exchange, a []string) {
	e.SetPhase(number(ts, a[0]), phaseByName[a[1]])
}

var verdictNames = map[Verdict]string{Drop: "drop", Deliver: "deliver", Missing: "missing"}

// chunk ATTEMPT POSITION WANT: a chunk of an answer arrives.
func cmdChunk(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := verdictNames[e.AcceptChunk(number(ts, a[0]), number(ts, a[1]))], a[2]; got != want {
		ts.Fatalf("chunk %s of attempt %s: got %s, want %s", a[1], a[0], got, want)
	}
}

// end ATTEMPT TOTAL WANT: an end mark arrives; WANT is yes if it completes the
// answer, otherwise no.
func cmdEnd(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.AcceptEnd(number(ts, a[0]), number(ts, a[1])), a[2] == "yes"; got != want {
		ts.Fatalf("end of attempt %s: got %t, want %t", a[0], got, want)
	}
}

// may retry|resume WANT: whether the request may be retried or resumed; WANT is yes
// or no.
func cmdMay(ts *testscript.TestScript, e *Exchange, a []string) {
	got := e.MayRetry()
	if a[0] == "resume" {
		got = e.MayResume()
	}
	if want := a[1] == "yes"; got != want {
		ts.Fatalf("may %s: got %t, want %t", a[0], got, want)
	}
}

// refusal WANT: the certainty of a refusal at this point.
func cmdRefusal(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.Refusal(503, "x", "x").Certainty.String(), a[0]; got != want {
		ts.Fatalf("refusal: got %s, want %s", got, want)
	}
}

// delivered WANT: the number of chunks that the caller has received.
func cmdDelivered(ts *testscript.TestScript, e *Exchange, a []string) {
	if got, want := e.Delivered(), number(ts, a[0]); got != want {
		ts.Fatalf("delivered: got %d, want %d", got, want)
	}
}
