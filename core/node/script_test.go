package node_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/upstream"
)

type fleetKey struct{}

// TestScripts runs the scripts in testdata. Each drives a fleet with a simulated
// clock; commands lists the commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = newFleet()
			return nil
		},
		Cmds: commands(),
	})
}

type command func(ts *testscript.TestScript, f *fleet, args []string)

// commands returns the commands of the scripts. Those without a function of their
// own are: lease LENGTH, for routers that start later; latency D, of messages;
// advance D, of the clock; partition ROUTER ROUTER; heal, which ends all
// partitions; pause, resume, shutdown and kill-router ROUTER; crash-engine
// UPSTREAM; unreachable UPSTREAM yes|no; send and finish NAME, of a request.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"sheet":              cmdSheet,
		"lease":              func(ts *testscript.TestScript, f *fleet, a []string) { f.lease.Length = duration(ts, a[0]) },
		"router":             cmdRouter,
		"router-without-log": cmdRouterWithoutLog,
		"latency":            func(ts *testscript.TestScript, f *fleet, a []string) { f.delay = duration(ts, a[0]) },
		"upstream":           cmdUpstream,
		"advance":            func(ts *testscript.TestScript, f *fleet, a []string) { f.run(duration(ts, a[0])) },
		"partition":          func(_ *testscript.TestScript, f *fleet, a []string) { f.partitions[pair(a)] = true },
		"heal":               func(_ *testscript.TestScript, f *fleet, _ []string) { clear(f.partitions) },
		"pause":              func(_ *testscript.TestScript, f *fleet, a []string) { f.routers[core.RouterID(a[0])].paused = true },
		"resume":             func(_ *testscript.TestScript, f *fleet, a []string) { f.resume(core.RouterID(a[0])) },
		"kill-router":        func(_ *testscript.TestScript, f *fleet, a []string) { f.kill(core.RouterID(a[0])) },
		"crash-engine":       func(_ *testscript.TestScript, f *fleet, a []string) { f.crash(core.UpstreamID(a[0])) },
		"unreachable": func(_ *testscript.TestScript, f *fleet, a []string) {
			f.engines[core.UpstreamID(a[0])].unreachable = a[1] == "yes"
		},
		"shutdown": func(_ *testscript.TestScript, f *fleet, a []string) {
			f.routers[core.RouterID(a[0])].node.BeginShutdown()
		},
		"acquire":     cmdAcquire,
		"send":        func(_ *testscript.TestScript, f *fleet, a []string) { f.send(f.requests[a[0]]) },
		"finish":      func(_ *testscript.TestScript, f *fleet, a []string) { f.finish(f.requests[a[0]]) },
		"state":       cmdState,
		"inflight":    cmdInflight,
		"coordinator": cmdCoordinator,
		"revision":    cmdRevision,
		"copies":      cmdCopies,
		"running":     cmdRunning,
		"drain":       cmdDrain,
		"show":        cmdShow,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		wrapped[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			f, ok := ts.Value(fleetKey{}).(*fleet)
			if !ok {
				ts.Fatalf("script has no fleet")
			}
			run(ts, f, args)
			if len(f.failures) > 0 {
				ts.Fatalf("%s", strings.Join(f.failures, "\n"))
			}
		}
	}
	return wrapped
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func pair(a []string) [2]core.RouterID {
	return [2]core.RouterID{core.RouterID(a[0]), core.RouterID(a[1])}
}

// sheet FILE: publishes the sheet, which comes into force at every running
// router.
func cmdSheet(ts *testscript.TestScript, f *fleet, a []string) {
	f.publish([]byte(ts.ReadFile(a[0])))
}

// router ID DC SEAT: starts a process of the router.
func cmdRouter(ts *testscript.TestScript, f *fleet, a []string) {
	f.start(core.RouterID(a[0]), core.DataCentre(a[1]), core.Seat(number(ts, a[2])))
}

// router-without-log ID DC SEAT: starts a process of the router that cannot read
// the log.
func cmdRouterWithoutLog(ts *testscript.TestScript, f *fleet, a []string) {
	offset := f.offset
	f.offset = 0
	cmdRouter(ts, f, a)
	f.offset = offset
}

// upstream ID POOL DC [AGE]: lists an upstream that started AGE ago.
func cmdUpstream(ts *testscript.TestScript, f *fleet, a []string) {
	age := time.Hour
	if len(a) > 3 {
		age = duration(ts, a[3])
	}
	f.engines[core.UpstreamID(a[0])] = &engine{
		upstream: upstream.Upstream{
			ID: core.UpstreamID(a[0]), Pool: core.Pool(a[1]), DataCentre: core.DataCentre(a[2]), Address: a[0],
		},
		booted: f.now.Add(-age),
	}
	f.applyLists()
}

// drain ID: lists the upstream as draining.
func cmdDrain(_ *testscript.TestScript, f *fleet, a []string) {
	f.engines[core.UpstreamID(a[0])].upstream.Draining = true
	f.applyLists()
}

// acquire NAME ROUTER UPSTREAM [COUNT] [wait=D] [for=D] [hold] [account=A] [suspect]:
// a router requests permits and sends each request as soon as its permit is
// granted; with hold, it sends at the command send. COUNT requests are named
// NAME1 and so on.
func cmdAcquire(ts *testscript.TestScript, f *fleet, a []string) {
	spec := node.PermitSpec{Upstream: core.UpstreamID(a[2]), Account: "a", Weight: 1}
	count, hold, length := 0, false, time.Duration(0)
	for _, arg := range a[3:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "wait":
			spec.Wait = duration(ts, value)
		case "for":
			length = duration(ts, value)
		case "hold":
			hold = true
		case "account":
			spec.Account = core.Account(value)
		case "suspect":
			spec.Suspect = true
		default:
			count = number(ts, arg)
		}
	}
	names := []string{a[0]}
	if count > 0 {
		names = nil
		for i := range count {
			names = append(names, a[0]+strconv.Itoa(i+1))
		}
	}
	for _, name := range names {
		f.acquire(&request{name: name, router: core.RouterID(a[1]), hold: hold, length: length}, spec)
	}
}

// state NAME WANT: checks the state of a request.
func cmdState(ts *testscript.TestScript, f *fleet, a []string) {
	if got, want := f.requests[a[0]].state, a[1]; got != want {
		ts.Fatalf("state of %s: got %s, want %s", a[0], got, want)
	}
}

// inflight UPSTREAM WANT: checks how many requests are running at the upstream.
func cmdInflight(ts *testscript.TestScript, f *fleet, a []string) {
	if got, want := len(f.engines[core.UpstreamID(a[0])].running), number(ts, a[1]); got != want {
		ts.Fatalf("in flight at %s: got %d, want %d", a[0], got, want)
	}
}

// running PREFIX WANT: checks how many requests whose names have the prefix are
// running.
func cmdRunning(ts *testscript.TestScript, f *fleet, a []string) {
	got := 0
	for name, rq := range f.requests {
		if strings.HasPrefix(name, a[0]) && rq.state == "running" {
			got++
		}
	}
	if want := number(ts, a[1]); got != want {
		ts.Fatalf("running requests named %s*: got %d, want %d", a[0], got, want)
	}
}

// coordinator ROUTER UPSTREAM WANT: checks which coordinator a router has chosen.
func cmdCoordinator(ts *testscript.TestScript, f *fleet, a []string) {
	for _, u := range f.routers[core.RouterID(a[0])].node.UpstreamInfos(f.now) {
		if u.ID == core.UpstreamID(a[1]) && u.Coordinator != core.RouterID(a[2]) {
			ts.Fatalf("coordinator of %s at %s: got %s, want %s", a[1], a[0], u.Coordinator, a[2])
		}
	}
}

// revision ROUTER WANT: checks which revision is in force at a router.
func cmdRevision(ts *testscript.TestScript, f *fleet, a []string) {
	_, got := f.routers[core.RouterID(a[0])].node.Sheet()
	if want := core.Offset(number(ts, a[1])); got != want {
		ts.Fatalf("revision at %s: got %d, want %d", a[0], got, want)
	}
}

// copies ROUTER MOST: checks that a router has got copies of the configuration from others,
// and how many since the last check.
func cmdCopies(ts *testscript.TestScript, f *fleet, a []string) {
	id := core.RouterID(a[0])
	if got, most := f.copies[id], number(ts, a[1]); got == 0 || got > most {
		ts.Fatalf("copies of the configuration sent to %s: got %d, want some and at most %d", id, got, most)
	}
	delete(f.copies, id)
}

// show: prints the state of every upstream at every router.
func cmdShow(ts *testscript.TestScript, f *fleet, _ []string) {
	for _, id := range f.routerIDs() {
		for _, u := range f.routers[id].node.UpstreamInfos(f.now) {
			ts.Logf("%s: %+v", id, u)
		}
	}
}
