package order

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type stateKey struct{}

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// state is the ledger and the clock of a script.
type state struct {
	ledger Ledger
	now    time.Time
}

// TestScripts runs the scripts in testdata. Each applies records of the log to a
// ledger and checks the decisions on claims.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &state{now: start}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// claim KEY/BODY ROUTER/SERIAL, void KEY/BODY ROUTER/SERIAL: applies
			// the record.
			"claim": with(func(s *state, c Claim, _ []string) { s.ledger.ApplyClaim(s.now, c) }),
			"void":  with(func(s *state, c Claim, _ []string) { s.ledger.ApplyVoid(c) }),
			// result KEY/BODY ROUTER/SERIAL TEXT: applies a result with the answer
			// TEXT.
			"result": with(func(s *state, c Claim, a []string) {
				s.ledger.ApplyResult(c, NewResult(200, "text/plain", []byte(a[0]), true))
			}),
			"decide":   cmdDecide,
			"advance":  cmdAdvance,
			"key-made": cmdKeyMade,
		},
	})
}

func stateOf(ts *testscript.TestScript) *state {
	s, ok := ts.Value(stateKey{}).(*state)
	if !ok {
		ts.Fatalf("no state")
	}
	return s
}

// claimOf parses KEY/BODY ROUTER/SERIAL, where BODY is the text of the request.
func claimOf(ts *testscript.TestScript, a []string) Claim {
	key, body, _ := strings.Cut(a[0], "/")
	router, serial, _ := strings.Cut(a[1], "/")
	n, err := strconv.ParseUint(serial, 10, 64)
	ts.Check(err)
	return Claim{
		Key: NewKey("account", key), Body: core.Digest(xxhash.Sum64String(body)), Router: core.RouterID(router), Incarnation: 1, Serial: n,
	}
}

func with(run func(*state, Claim, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		run(stateOf(ts), claimOf(ts, args), args[2:])
	}
}

// decide KEY/BODY ROUTER/SERIAL WANT: checks the decision on a claim; WANT is append,
// run, replay or the refusal's code.
func cmdDecide(ts *testscript.TestScript, _ bool, a []string) {
	d := stateOf(ts).ledger.Decide(claimOf(ts, a))
	got := map[Step]string{Append: "append", Run: "run", Replay: "replay"}[d.Step]
	if d.Refusal != nil {
		got = d.Refusal.Code
	}
	if want := a[2]; got != want {
		ts.Fatalf("decision: got %s, want %s", got, want)
	}
}

// advance DURATION: moves the clock and drops the keys that are too old.
func cmdAdvance(ts *testscript.TestScript, _ bool, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	s := stateOf(ts)
	s.now = s.now.Add(d)
	s.ledger.Prune(s.now, KeyRetention)
}

// key-made AGE WANT: checks a key that was made AGE ago; WANT is accepted or the
// refusal's code.
func cmdKeyMade(ts *testscript.TestScript, _ bool, a []string) {
	age, err := time.ParseDuration(a[0])
	ts.Check(err)
	got := "accepted"
	if r := CheckKeyTime(start, start.Add(-age)); r != nil {
		got = r.Code
	}
	if want := a[1]; got != want {
		ts.Fatalf("key of age %s: got %s, want %s", a[0], got, want)
	}
}
