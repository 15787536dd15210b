package order

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type bookKey struct{}

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

type table struct {
	book Book
	now  time.Time
}

// TestScripts runs the scripts in testdata. Each folds records of the log and
// asks what becomes of claims.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[bookKey{}] = &table{now: start}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"claim": with(func(t *table, c Claim, _ []string) { t.book.Claimed(t.now, c) }),
			"void":  with(func(t *table, c Claim, _ []string) { t.book.Voided(c) }),
			"finish": with(func(t *table, c Claim, a []string) {
				t.book.Finished(c, NewResult(200, "text/plain", []byte(a[0]), true))
			}),
			"decide": cmdDecide,
			"after":  cmdWait,
			"birth":  cmdBirth,
		},
	})
}

func tableOf(ts *testscript.TestScript) *table {
	t, ok := ts.Value(bookKey{}).(*table)
	if !ok {
		ts.Fatalf("no table")
	}
	return t
}

// claimOf reads KEY/BODY ROUTER/SERIAL.
func claimOf(ts *testscript.TestScript, a []string) Claim {
	key, body, _ := strings.Cut(a[0], "/")
	router, serial, _ := strings.Cut(a[1], "/")
	n, err := strconv.ParseUint(serial, 10, 64)
	ts.Check(err)
	return Claim{
		Key: NewKey("account", key), Body: core.Digest(len(body)), Router: core.RouterID(router), Incarnation: 1, Serial: n,
	}
}

func with(run func(*table, Claim, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		run(tableOf(ts), claimOf(ts, args), args[2:])
	}
}

// decide KEY/BODY ROUTER/SERIAL WANT: append, run, replay or a refusal's code.
func cmdDecide(ts *testscript.TestScript, _ bool, a []string) {
	d := tableOf(ts).book.Decide(claimOf(ts, a))
	got := map[Step]string{Append: "append", Run: "run", Replay: "replay"}[d.Step]
	if d.Refusal != nil {
		got = d.Refusal.Code
	}
	if want := a[2]; got != want {
		ts.Fatalf("decision: got %s, want %s", got, want)
	}
}

// after DURATION: time passes, and what is too old is forgotten.
func cmdWait(ts *testscript.TestScript, _ bool, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	t := tableOf(ts)
	t.now = t.now.Add(d)
	t.book.Forget(t.now, Window)
}

// birth AGE WANT: whether a key that states its birth is taken.
func cmdBirth(ts *testscript.TestScript, _ bool, a []string) {
	age, err := time.ParseDuration(a[0])
	ts.Check(err)
	got := "taken"
	if r := CheckBirth(start, start.Add(-age)); r != nil {
		got = r.Code
	}
	if want := a[1]; got != want {
		ts.Fatalf("key of age %s: got %s, want %s", a[0], got, want)
	}
}
