package fleet_test

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/load"
)

// pace NAME HUNDREDTHS: the upstream of a request states the pace of its host in the response,
// which begins now. The router tells the others.
func cmdPace(ts *testscript.TestScript, sim *simulation, a []string) {
	r := sim.requests[a[0]]
	hundredths, err := strconv.Atoi(a[1])
	ts.Check(err)
	report := load.Report{Running: 1, Pace: hundredths}
	gathering := r.router.RecordPace(sim.now, r.target, report)
	sim.spread(r.router, r.router.RecordLoad(sim.now, r.target, report))
	sim.tellPaces(r.router, gathering)
}

// tellPaces lets a router tell the others what it has gathered of hosts.
func (sim *simulation) tellPaces(r *fleet.Fleet, gathering bool) {
	if gathering {
		m := r.TakeHostPaces(sim.now)
		if m != nil {
			sim.paceMessages++
		}
		sim.spread(r, m)
	}
}

// finish-at UPSTREAM OUTCOME NAME COUNT: ends up to COUNT of the requests NAME, NAME1 and so on
// that run at an upstream.
func cmdFinishAt(ts *testscript.TestScript, sim *simulation, a []string) {
	most, err := strconv.Atoi(a[3])
	ts.Check(err)
	for _, name := range sim.namesAt(a[0], a[2]) {
		if most > 0 && !sim.requests[name].done {
			cmdFinish(ts, sim, []string{name, a[1]})
			most--
		}
	}
}

// not-at UPSTREAM NAME: checks that none of the requests NAME, NAME1 and so on is at an upstream.
func cmdNotAt(ts *testscript.TestScript, sim *simulation, a []string) {
	if got := sim.namesAt(a[0], a[1]); len(got) > 0 {
		ts.Fatalf("requests at %s: got %v, want none", a[0], got)
	}
}

// at-least UPSTREAM NAME COUNT: checks that as many of the requests NAME, NAME1 and so on are at
// an upstream.
func cmdAtLeast(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.namesAt(a[0], a[1])
	if want, err := strconv.Atoi(a[2]); err != nil || len(got) < want {
		ts.Fatalf("requests at %s: got %v, want at least %s", a[0], got, a[2])
	}
}

// namesAt returns those of the requests prefix, prefix1 and so on that an upstream got.
func (sim *simulation) namesAt(upstream, prefix string) []string {
	var all []string
	for i := 0; ; i++ {
		name := prefix
		if i > 0 {
			name += strconv.Itoa(i)
		}
		s := sim.requests[name]
		if s == nil {
			return all
		}
		if s.refusal == nil && string(s.target.ID) == upstream {
			all = append(all, name)
		}
	}
}

// pace-known ROUTER UPSTREAM LEAST MOST: checks the pace that a router expects.
func cmdPaceKnown(ts *testscript.TestScript, sim *simulation, a []string) {
	least, err := strconv.Atoi(a[2])
	ts.Check(err)
	most, err := strconv.Atoi(a[3])
	ts.Check(err)
	for _, u := range sim.routers[a[0]].Status(sim.now).Upstreams {
		if u.ID == core.UpstreamID(a[1]) && (u.Pace < least || u.Pace > most) {
			ts.Fatalf("pace of %s at %s: got %d, want %d to %d", a[1], a[0], u.Pace, least, most)
		}
	}
}

// pace-messages COUNT: checks how many messages about hosts routers have begun to spread since
// the last check.
func cmdPaceMessages(ts *testscript.TestScript, sim *simulation, a []string) {
	if want, err := strconv.Atoi(a[0]); err != nil || sim.paceMessages != want {
		ts.Fatalf("messages about hosts: got %d, want %s", sim.paceMessages, a[0])
	}
	sim.paceMessages = 0
}

// tell-pace FROM TO UPSTREAM HUNDREDTHS AGEMS: a router tells another one of a host.
func cmdTellPace(ts *testscript.TestScript, sim *simulation, a []string) {
	hundredths, err := strconv.Atoi(a[3])
	ts.Check(err)
	age, err := strconv.ParseInt(a[4], 10, 64)
	ts.Check(err)
	sim.deliver(a[0], a[1], fleet.Message{HostPaces: []fleet.HostPace{{Upstream: core.UpstreamID(a[2]), Hundredths: hundredths, AgeMS: age}}})
}
