package fleet_test

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core/statement"
)

// says NAME LIMIT|none|unclear|leaving|retry-after DURATION: the answer to a request states
// a limit of requests per second, that the upstream leaves, or that it wants nothing for a
// time. The router tells the others.
func cmdSays(ts *testscript.TestScript, sim *simulation, a []string) {
	r := sim.requests[a[0]]
	var said statement.Answer
	switch a[1] {
	case "none":
	case "leaving":
		said.Leaving = true
	case "retry-after":
		after, err := time.ParseDuration(a[2])
		ts.Check(err)
		said.RetryAfter = after
	case "unclear":
		said.Limit.Unclear = true
	default:
		perSecond, err := strconv.ParseFloat(a[1], 64)
		ts.Check(err)
		said.Limit = statement.NewLimit(perSecond)
	}
	sim.spread(r.router, r.router.RecordStatement(sim.now, r.target, said).Notify)
}

const (
	// trafficStep is the time between two requests to each router in the verb traffic,
	// trafficRunTime how long a request runs.
	trafficStep    = 50 * time.Millisecond
	trafficRunTime = 30 * time.Millisecond
	// heartbeatSteps is the number of steps between two rounds of heartbeats.
	heartbeatSteps = 4
)

// traffic NAME DURATION ROUTE ROUTER... [parts=ID:TOKENS,...]: each router gets requests at
// regular intervals, which complete, and all routers send their periodic messages. The
// answers of an upstream say what it said last.
func cmdTraffic(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[1])
	ts.Check(err)
	var options []string
	routers := slices.DeleteFunc(slices.Clone(a[3:]), func(arg string) bool {
		if strings.Contains(arg, "=") {
			options = append(options, arg)
			return true
		}
		return false
	})
	step := 0
	for end := sim.now.Add(d); sim.now.Before(end); step++ {
		var sent []string
		for _, id := range routers {
			name := a[0] + id + "-" + strconv.Itoa(step)
			cmdSend(ts, sim, append([]string{name, id, a[2]}, options...))
			if sim.requests[name].refusal == nil {
				sent = append(sent, name)
			}
		}
		sim.now = sim.now.Add(trafficRunTime)
		for _, name := range sent {
			cmdFinish(ts, sim, []string{name, "good"})
		}
		sim.now = sim.now.Add(trafficStep - trafficRunTime)
		if step%heartbeatSteps == 0 {
			sim.sendHeartbeats()
		}
	}
}

// most-within UPSTREAM DURATION MAX [MIN]: checks the highest number of requests that an
// upstream got within a span of this length, of those sent so far.
func cmdMostWithin(ts *testscript.TestScript, sim *simulation, a []string) {
	span, err := time.ParseDuration(a[1])
	ts.Check(err)
	var times []time.Time
	for _, r := range sim.requests {
		if r.refusal == nil && string(r.target.ID) == a[0] {
			times = append(times, r.sentAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	got, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		got = max(got, i-first+1)
	}
	most, err := strconv.Atoi(a[2])
	ts.Check(err)
	least := 0
	if len(a) > 3 {
		least, err = strconv.Atoi(a[3])
		ts.Check(err)
	}
	if got > most || got < least {
		ts.Fatalf("requests to %s within %s: got %d, want %d to %d", a[0], a[1], got, least, most)
	}
	clear(sim.requests)
}

// limited ROUTER COUNT: checks how many upstreams a router takes to be limited.
func cmdLimited(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.routers[a[0]].LimitedUpstreams(sim.now)
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("limited upstreams at %s: got %d, want %s", a[0], got, a[1])
	}
}
