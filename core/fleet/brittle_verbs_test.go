package fleet_test

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/statement"
)

const (
	// pressStep is the time between two requests to each router in the verb press,
	// pressRunTime how long a request runs, pressHeartbeats the time between heartbeats.
	pressStep       = 10 * time.Millisecond
	pressRunTime    = 200 * time.Millisecond
	pressHeartbeats = 20
)

// crowd is the upstreams of the verb press: each runs and queues room requests.
type crowd struct {
	room     int
	running  map[core.UpstreamID][]*sentRequest
	rejected map[core.UpstreamID][]time.Time
	served   int
}

// press ROUTE DURATION ROOM MOST SERVED ROUTER...: sends a request to each router every 10 ms.
// Upstreams run ROOM requests at a time, 200 ms each, turn others away, and say that they are
// brittle. Checks that each turned away at most MOST in any second, and that SERVED were served
// at least.
func cmdPress(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[1])
	ts.Check(err)
	var n [3]int
	for i := range n {
		n[i], err = strconv.Atoi(a[2+i])
		ts.Check(err)
	}
	c := &crowd{room: n[0], running: map[core.UpstreamID][]*sentRequest{}, rejected: map[core.UpstreamID][]time.Time{}}
	for step := range int(d / pressStep) {
		sim.now = sim.now.Add(pressStep)
		c.endRuns(sim)
		for _, id := range a[5:] {
			c.send(sim, id, a[0], strconv.Itoa(step))
		}
		if step%pressHeartbeats == 0 {
			sim.sendHeartbeats()
		}
	}
	for id, all := range c.rejected {
		for i := range all {
			if i >= n[1] && all[i].Sub(all[i-n[1]]) < time.Second {
				ts.Fatalf("%s: got more than %d requests turned away in the second until %s, want at most that", id, n[1], all[i].Sub(start))
			}
		}
	}
	if c.served < n[2] {
		ts.Fatalf("requests served: got %d, want at least %d", c.served, n[2])
	}
}

// send sends a request to a router, which sends it on.
func (c *crowd) send(sim *simulation, router, route, suffix string) {
	s := &sentRequest{router: sim.routers[router]}
	s.request, s.refusal = s.router.Admit(sim.now, fleet.CallerRequest{ID: "press-" + router + suffix, Host: route, Path: "/"})
	if s.refusal == nil {
		sim.choose(s)
	}
	if s.refusal != nil {
		return
	}
	sim.spread(s.router, s.router.RecordStatement(sim.now, s.target, statement.Answer{Brittle: statement.NewLimit(1)}).Notify)
	if len(c.running[s.target.ID]) < c.room {
		c.running[s.target.ID] = append(c.running[s.target.ID], s)
		return
	}
	c.rejected[s.target.ID] = append(c.rejected[s.target.ID], sim.now)
	s.router.FinishAttempt(sim.now, s.target, health.Shed, &load.Report{Running: c.room})
	sim.spread(s.router, s.router.RecordRejection(sim.now, s.target))
}

// endRuns ends the requests that have run for pressRunTime.
func (c *crowd) endRuns(sim *simulation) {
	for id, all := range c.running {
		var left []*sentRequest
		for _, s := range all {
			if sim.now.Sub(s.sentAt) < pressRunTime {
				left = append(left, s)
				continue
			}
			c.served++
			s.router.FinishAttempt(sim.now, s.target, health.Good, nil)
		}
		c.running[id] = left
	}
}
