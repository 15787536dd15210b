package ledger

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// record is a ledger with a made clock.
type record struct {
	ledger Ledger
	now    time.Time
	left   map[string]time.Time
	ends   map[string]func(time.Time)
}

type recordKey struct{}

// TestScripts runs the scripts in testdata: what is seen, and which promise it
// breaks.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[recordKey{}] = &record{
				now: time.Unix(1000, 0), left: map[string]time.Time{}, ends: map[string]func(time.Time){},
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"config": with(cmdConfig), "send": with(cmdSend), "ran": with(cmdRan), "refused": with(cmdRefused),
			"after": with(cmdAfter), "leaves": with(cmdLeaves), "out": with(cmdOut), "harm": with(cmdHarm), "over": with(cmdOver),
			"broken": with(cmdBroken),
		},
	})
}

func with(run func(*testscript.TestScript, *record, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		r, ok := ts.Value(recordKey{}).(*record)
		if !ok {
			ts.Fatalf("no record")
		}
		run(ts, r, args)
	}
}

// config ROUTE=POOL...: a configuration is written.
func cmdConfig(_ *testscript.TestScript, r *record, a []string) {
	pools := map[string]string{}
	for _, arg := range a {
		route, pool, _ := strings.Cut(arg, "=")
		pools[route] = pool
	}
	r.ledger.Configure(r.now, pools)
}

// send ID KIND ROUTE ROUTER.
func cmdSend(_ *testscript.TestScript, r *record, a []string) {
	r.ledger.Send(Request{ID: a[0], Kind: Kind(a[1]), Route: a[2], Router: a[3], Line: "GET /", Tenant: "t", Sent: r.now})
}

// ran ID RUNNER POOL ZONE [line=LINE] [key=KEY] [cold=RATE].
func cmdRan(ts *testscript.TestScript, r *record, a []string) {
	run := Run{ID: a[0], Runner: a[1], Pool: a[2], Zone: a[3], Line: "GET /", Tenant: "t", At: r.now, Left: r.left[a[1]]}
	for _, arg := range a[4:] {
		switch name, value, _ := strings.Cut(arg, "="); name {
		case "line":
			run.Line = value
		case "key":
			run.Key = value
		case "cold":
			rate, err := strconv.ParseFloat(value, 64)
			ts.Check(err)
			run.ColdRate = rate
		}
	}
	r.ledger.Ran(run)
}

func cmdRefused(_ *testscript.TestScript, r *record, a []string) { r.ledger.Promise(r.now, a[0]) }

func cmdAfter(ts *testscript.TestScript, r *record, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	r.now = r.now.Add(d)
}

func cmdLeaves(_ *testscript.TestScript, r *record, a []string) { r.left[a[0]] = r.now }

func cmdOut(_ *testscript.TestScript, r *record, a []string) { r.ledger.Out(r.now, a[0], true) }

// harm PART, over PART: a part is harmed, and no more.
func cmdHarm(_ *testscript.TestScript, r *record, a []string) {
	r.ends[a[0]] = r.ledger.Harm(r.now, a[0], false)
}

func cmdOver(_ *testscript.TestScript, r *record, a []string) { r.ends[a[0]](r.now) }

// broken [PROMISE...]: the promises that were broken, in order.
func cmdBroken(ts *testscript.TestScript, r *record, a []string) {
	_, violations := r.ledger.Result()
	var got []string
	for _, v := range violations {
		got = append(got, v.Promise)
	}
	if strings.Join(got, " ") != strings.Join(a, " ") {
		ts.Fatalf("broken promises: got %v, want %v", violations, a)
	}
}
