package fleet_test

import (
	"slices"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/roster"
)

// helper NAME none|ROUTER...: checks which router a request is sent to in place of an
// upstream, one of these or none. The request counts the upstreams that it couldn't reach.
func cmdHelper(ts *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	got := "none"
	if m, ok := s.router.ChooseHelper(sim.now, s.request, s.detours); ok {
		got = string(m.ID)
		s.detours.Helpers = append(s.detours.Helpers, m.ID)
	}
	if !slices.Contains(a[1:], got) {
		ts.Fatalf("helper of %s: got %s, want one of %v", a[0], got, a[1:])
	}
}

// helped NAME good|shed|unreachable: ends the attempt of a request at the last helper.
func cmdHelped(_ *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	outcome := map[string]health.Outcome{"good": health.Good, "shed": health.Shed, "unreachable": health.Unreachable}[a[1]]
	s.router.FinishDetour(sim.now, s.detours.Helpers[len(s.detours.Helpers)-1], outcome)
}

// cut-off ROUTER COUNT: checks from how many pools a router is cut off.
func cmdCutOff(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.routers[a[0]].CutOffPools(sim.now)
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("pools cut off at %s: got %d, want %s", a[0], got, a[1])
	}
}

// unreached ROUTER UPSTREAM: the router can't open a connection to an upstream.
func cmdUnreached(_ *testscript.TestScript, sim *simulation, a []string) {
	e := sim.entries[core.UpstreamID(a[1])]
	sim.routers[a[0]].RecordUnreached(sim.now, roster.Upstream{Entry: e})
}

// reached ROUTER UPSTREAM: the router opens a connection to an upstream again.
func cmdReached(_ *testscript.TestScript, sim *simulation, a []string) {
	e := sim.entries[core.UpstreamID(a[1])]
	sim.routers[a[0]].RecordReached(sim.now, roster.Upstream{Entry: e})
}

// relay NAME ROUTER ROUTE [count=N]: a router admits requests that another one has sent, and
// chooses upstreams.
func cmdRelay(ts *testscript.TestScript, sim *simulation, a []string) {
	for i := range max(number(ts, a, "count"), 1) {
		name := a[0] + strconv.Itoa(i)
		s := &sentRequest{router: sim.routers[a[1]]}
		sim.requests[name] = s
		if s.request, s.refusal = s.router.Admit(sim.now, fleet.CallerRequest{ID: name, Host: a[2], Path: "/", Relayed: true}); s.refusal != nil {
			continue
		}
		if s.refusal = s.router.RefuseRelayed(sim.now, s.request, s.detours.Unreached); s.refusal == nil {
			sim.choose(s)
		}
	}
}
