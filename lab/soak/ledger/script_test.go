package ledger

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptState is the state of one script: a ledger with a manual clock.
type scriptState struct {
	ledger      Ledger
	now         time.Time
	withdrawnAt map[string]time.Time
	endFault    map[string]func(time.Time)
}

type stateKey struct{}

// TestScripts runs the scripts in testdata. Each records observations and lists
// the guarantees that they violate.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &scriptState{
				now: time.Unix(1000, 0), withdrawnAt: map[string]time.Time{}, endFault: map[string]func(time.Time){},
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"config": command(cmdConfig), "send": command(cmdSend), "run": command(cmdRun), "refuse": command(cmdRefuse),
			"advance": command(cmdAdvance), "withdraw": command(cmdWithdraw), "evacuate": command(cmdEvacuate),
			"begin-fault": command(cmdBeginFault), "end-fault": command(cmdEndFault), "violations": command(cmdViolations), "limit": command(cmdLimit), "arrive": command(cmdArrive), "told": command(cmdTold), "leave": command(cmdLeave), "turn-away": command(cmdTurnAway), "restart": command(cmdRestart),
			"run-end": command(cmdRunEnd), "unended": command(cmdUnended), "copy": command(cmdCopy), "refused": command(cmdRefused), "events": command(cmdEvents),
			"order": command(cmdOrder), "serve": command(cmdServe),
		},
	})
}

// command adapts a function on the script's state to a testscript command.
func command(run func(*testscript.TestScript, *scriptState, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s, ok := ts.Value(stateKey{}).(*scriptState)
		if !ok {
			ts.Fatalf("script has no state")
		}
		run(ts, s, args)
	}
}

// config ROUTE=POOL...: writes a configuration.
func cmdConfig(_ *testscript.TestScript, s *scriptState, args []string) {
	pools := map[string]string{}
	for _, arg := range args {
		route, pool, _ := strings.Cut(arg, "=")
		pools[route] = pool
	}
	s.ledger.RecordConfig(s.now, pools)
}

// send ID KIND ROUTE ROUTER: a caller sends a request.
func cmdSend(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.RecordRequest(Request{ID: args[0], Kind: Kind(args[1]), Route: args[2], Router: args[3], Line: "GET /", Tenant: "t", SentAt: s.now})
}

// run ID RUNNER POOL ZONE [line=LINE] [key=KEY] [cold=RATE]: a runner runs a
// request.
func cmdRun(ts *testscript.TestScript, s *scriptState, args []string) {
	run := Run{ID: args[0], Runner: args[1], Pool: args[2], Zone: args[3], Line: "GET /", Tenant: "t", At: s.now, WithdrawnAt: s.withdrawnAt[args[1]]}
	for _, arg := range args[4:] {
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
	s.ledger.RecordRun(run)
}

// refuse ID: the caller receives a status which promises that the request has
// not run.
func cmdRefuse(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.RecordRefusal(s.now, args[0])
}

// advance DURATION: moves the clock.
func cmdAdvance(ts *testscript.TestScript, s *scriptState, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s.now = s.now.Add(d)
}

// withdraw RUNNER: the runner's entry is written as draining or removed.
func cmdWithdraw(_ *testscript.TestScript, s *scriptState, args []string) {
	s.withdrawnAt[args[0]] = s.now
}

// evacuate ZONE: the zone is evacuated.
func cmdEvacuate(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.SetEvacuated(s.now, args[0], true)
}

// begin-fault COMPONENT [reachable]: starts an unplanned fault, in which routers reach the
// component all the while if so stated.
func cmdBeginFault(_ *testscript.TestScript, s *scriptState, args []string) {
	s.endFault[args[0]] = s.ledger.BeginFault(s.now, Fault{Component: args[0], Reachable: len(args) > 1 && args[1] == "reachable"})
}

// end-fault COMPONENT: ends the fault.
func cmdEndFault(_ *testscript.TestScript, s *scriptState, args []string) { s.endFault[args[0]](s.now) }

// violations [GUARANTEE...]: checks that exactly these guarantees have been
// violated so far, in this order.
func cmdViolations(ts *testscript.TestScript, s *scriptState, args []string) {
	_, violations := s.ledger.Result()
	var got []string
	for _, v := range violations {
		got = append(got, v.Guarantee)
	}
	if strings.Join(got, " ") != strings.Join(args, " ") {
		ts.Fatalf("violations: got %v, want %v", violations, args)
	}
}

// limit RUNNER PER-SECOND: the runner names a limit, or none if it is zero.
func cmdLimit(ts *testscript.TestScript, s *scriptState, args []string) {
	perSecond, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	s.ledger.SetLimit(s.now, args[0], perSecond)
}

// told ID RUNNER: the router of a request gets a response that names the runner's limit.
func cmdTold(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.RecordLimitTold(s.now, args[1], args[0])
}

// arrive ID RUNNER COUNT: a request reaches the runner some times, 100 ms apart.
func cmdArrive(ts *testscript.TestScript, s *scriptState, args []string) {
	count, err := strconv.Atoi(args[2])
	ts.Check(err)
	for range count {
		s.now = s.now.Add(100 * time.Millisecond)
		s.ledger.RecordArrival(s.now, args[1], args[0])
	}
}

// leave ID RUNNER: the router of a request gets a response which says that the runner leaves.
func cmdLeave(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.RecordLeavingTold(s.now, args[1], args[0])
}

// turn-away ID RUNNER DURATION: the runner turns the router of a request away for a time.
func cmdTurnAway(ts *testscript.TestScript, s *scriptState, args []string) {
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	s.ledger.RecordTurnedAway(s.now, args[1], args[0], d)
}

// restart ROUTER: the router starts again.
func cmdRestart(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.ForgetStatements(args[0])
}

// run-end ID RUNNER: the runner no longer works on the request.
func cmdRunEnd(_ *testscript.TestScript, s *scriptState, args []string) {
	s.ledger.RecordRunEnd(s.now, args[1], args[0])
}

// unended: checks the runs that have not ended.
func cmdUnended(_ *testscript.TestScript, s *scriptState, _ []string) { s.ledger.CheckUnended(s.now) }

// refused ID RUNNER STATUS: the runner refuses the request.
func cmdRefused(ts *testscript.TestScript, s *scriptState, args []string) {
	status, err := strconv.Atoi(args[2])
	ts.Check(err)
	s.ledger.RecordRefused(s.now, args[1], "c", args[0], status)
}

// copy REFUSED RUNNER [NEXT]: the runner sends a refusal once more, ahead of the response to
// NEXT if one is due.
func cmdCopy(_ *testscript.TestScript, s *scriptState, args []string) {
	c := Copy{Refused: args[0], Runner: args[1], Conn: "c"}
	if len(args) > 2 {
		c.Next = args[2]
	}
	s.ledger.RecordCopy(s.now, c)
}

// events [EVENT=COUNT...]: checks that exactly these events have been counted, in the order
// of their names.
func cmdEvents(ts *testscript.TestScript, s *scriptState, args []string) {
	counted := s.ledger.Events()
	var got []string
	for _, event := range slices.Sorted(maps.Keys(counted)) {
		got = append(got, event+"="+strconv.Itoa(counted[event]))
	}
	if !slices.Equal(got, args) {
		ts.Fatalf("events: got %v, want %v", got, args)
	}
}
