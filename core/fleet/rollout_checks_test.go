package fleet_test

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core/fleet"
)

// exposed RELEASE LEAST MOST: checks how many requests of the verb serve went to a release
// since the last check, each a number, or a percentage of all requests plus a number as in
// 10%+50.
func cmdExposed(ts *testscript.TestScript, sim *simulation, a []string) {
	st := &sim.rollout
	bound := func(text string) float64 {
		sum := 0.0
		for part := range strings.SplitSeq(text, "+") {
			percent, isShare := strings.CutSuffix(part, "%")
			x, err := strconv.ParseFloat(percent, 64)
			ts.Check(err)
			if isShare {
				x *= float64(st.all) / 100
			}
			sum += x
		}
		return sum
	}
	if got := float64(st.sent[a[0]]); got < bound(a[1]) || got > bound(a[2]) {
		ts.Fatalf("requests to %s: got %.0f of %d, want %s to %s", a[0], got, st.all, a[1], a[2])
	}
	clear(st.sent)
	st.all = 0
}

// last-sent RELEASE MOST: checks how long ago the last request went to a release, and that it
// is at least that long.
func cmdLastSent(ts *testscript.TestScript, sim *simulation, a []string) {
	least, err := time.ParseDuration(a[1])
	ts.Check(err)
	if got := sim.now.Sub(sim.rollout.lastSent[a[0]]); got < least {
		ts.Fatalf("last request to %s: got one %s ago, want at least %s", a[0], got, least)
	}
}

// stage POOL STAGE [ROUTER...]: checks the stage of a pool's roll-out at routers, or all that
// aren't frozen.
func cmdStage(ts *testscript.TestScript, sim *simulation, a []string) {
	sim.each(a[2:], func(f *fleet.Fleet) {
		id := string(f.Settings().ID)
		if sim.frozen[id] {
			return
		}
		got := "none"
		for _, v := range f.Rollouts(sim.now) {
			if string(v.Pool) == a[0] {
				got = v.Stage
			}
		}
		if !slices.Contains(strings.Split(a[1], ","), got) {
			ts.Fatalf("stage of %s at %s: got %s, want %s", a[0], id, got, a[1])
		}
	})
}

// status POOL running|completed|rolled_back|none TARGET [ORDER]: checks the status in the store.
func cmdStatus(ts *testscript.TestScript, sim *simulation, a []string) {
	got, target, order := "none", "", ""
	for _, s := range sim.rollout.statuses {
		if string(s.Pool) != a[0] {
			continue
		}
		got, target, order = "running", s.Target, strconv.FormatUint(s.Offset, 10)
		if s.Stage.Final() {
			got = s.Stage.String()
		}
	}
	if got != a[1] || (len(a) > 2 && target != a[2]) || (len(a) > 3 && order != a[3]) {
		ts.Fatalf("status of %s: got %s to %s, order %s, want %v", a[0], got, target, order, a[1:])
	}
}

// final-statuses POOL COUNT: checks how many final statuses were written for a pool.
func cmdFinalStatuses(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	for _, s := range sim.rollout.statuses {
		if string(s.Pool) == a[0] && s.Stage.Final() {
			got++
		}
	}
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("final statuses of %s: got %d, want %s", a[0], got, a[1])
	}
}

// rollout-calls STORE MESSAGES: checks the most calls to the store and messages between routers
// for roll-outs since the last check.
func cmdRolloutCalls(ts *testscript.TestScript, sim *simulation, a []string) {
	st := &sim.rollout
	calls, err := strconv.Atoi(a[0])
	ts.Check(err)
	messages, err := strconv.Atoi(a[1])
	ts.Check(err)
	if st.calls > calls || st.messages > messages {
		ts.Fatalf("roll-outs: got %d calls and %d messages, want at most %d and %d", st.calls, st.messages, calls, messages)
	}
	st.calls, st.messages = 0, 0
}

// conductor POOL: sets the environment variable conductor to the router that conducts, as the
// first router that isn't frozen sees it, and others to all other ones.
func cmdConductor(ts *testscript.TestScript, sim *simulation, a []string) {
	for _, id := range sim.order {
		if sim.frozen[id] {
			continue
		}
		for _, v := range sim.routers[id].Rollouts(sim.now) {
			if string(v.Pool) != a[0] {
				continue
			}
			ts.Setenv("conductor", string(v.Conductor))
			ts.Setenv("dc", string(sim.routers[string(v.Conductor)].Settings().DataCentre))
			return
		}
	}
	ts.Fatalf("no router knows a roll-out of %s", a[0])
}
