package node_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorpulley.org/core"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/upstream"
)

func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const propertySheet = `{
 "DataCentres":[{"Name":"colombo","Region":"lk","Seats":3},{"Name":"kandy","Region":"lk","Seats":1}],
 "Pools":[{"Name":"p","Kind":"model","Capacity":5,"ColdCapacity":1,"RampTime":3000000000,"MaxRunTime":8000000000}]}`

type seatOf struct {
	dc   core.DataCentre
	seat core.Seat
}

var propertyRouters = map[core.RouterID]seatOf{
	"r1": {"colombo", 1}, "r2": {"colombo", 2}, "r3": {"colombo", 3}, "r4": {"kandy", 1},
}

// TestLimitHolds drives the tables of the routers through random failures. No
// engine may ever have more requests in flight than its capacity, and after
// recovery its whole limit must be available.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet()
		f.publish([]byte(propertySheet))
		for i, id := range []core.UpstreamID{"e1", "e2", "e3"} {
			dc := core.DataCentre("colombo")
			if i == 2 {
				dc = "kandy"
			}
			f.engines[id] = &engine{
				upstream: upstream.Upstream{ID: id, Pool: "p", DataCentre: dc, Address: string(id)}, booted: f.now.Add(-time.Hour),
			}
		}
		ids := []core.RouterID{"r1", "r2", "r3", "r4"}
		for _, id := range ids {
			f.start(id, propertyRouters[id].dc, propertyRouters[id].seat)
		}
		f.run(12 * time.Second)
		lossy := false
		drop := rapid.IntRange(0, 9)
		f.loss = func() bool { return lossy && drop.Draw(rt, "loss") < 3 }
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		trace := []string{}
		for i := range steps {
			trace = append(trace, randomStep(rt, f, i, &lossy))
			check(rt, f, trace)
		}
		lossy = false
		recoverFleet(f)
		check(rt, f, trace)
		checkCapacity(rt, f, trace)
	})
}

func check(rt *rapid.T, f *fleet, trace []string) {
	if len(f.failures) > 0 {
		rt.Fatalf("got %v after %v, want no failure", f.failures, trace)
	}
}

func randomStep(rt *rapid.T, f *fleet, i int, lossy *bool) string {
	id := rapid.SampledFrom(f.routerIDs()).Draw(rt, "router")
	en := rapid.SampledFrom(f.engineIDs()).Draw(rt, "engine")
	p := f.routers[id]
	switch action := rapid.SampledFrom(propertyActions).Draw(rt, "action"); action {
	case "acquire", "hold":
		if !p.alive || p.paused {
			return ""
		}
		count := rapid.IntRange(1, 8).Draw(rt, "count")
		length := time.Duration(rapid.IntRange(1, 100).Draw(rt, "length")) * 100 * time.Millisecond
		wait := time.Duration(rapid.SampledFrom([]int{0, 0, 1000, 3000}).Draw(rt, "wait")) * time.Millisecond
		for k := range count {
			rq := &request{name: fmt.Sprintf("q%d-%d", i, k), router: id, hold: action == "hold", length: length}
			f.acquire(rq, node.PermitSpec{Upstream: en, Account: "a", Weight: 1, Wait: wait})
		}
		return fmt.Sprintf("%s %s %s %d for=%s wait=%s", action, id, en, count, length, wait)
	case "send":
		for _, rq := range f.sortedRequests() {
			if rq.state == "granted" && f.routers[rq.router].alive && !f.routers[rq.router].paused {
				f.send(rq)
			}
		}
		return "send"
	case "advance":
		d := time.Duration(rapid.IntRange(1, 60).Draw(rt, "time")) * 50 * time.Millisecond
		f.run(d)
		return "advance " + d.String()
	case "partition":
		other := rapid.SampledFrom(f.routerIDs()).Draw(rt, "other")
		f.partitions[[2]core.RouterID{id, other}] = true
		return fmt.Sprintf("partition %s %s", id, other)
	case "heal":
		clear(f.partitions)
		return "heal"
	case "pause":
		p.paused = p.alive
		return "pause " + string(id)
	case "resume":
		if p.paused {
			f.resume(id)
		}
		return "resume " + string(id)
	case "kill":
		if p.alive {
			f.kill(id)
		}
		return "kill " + string(id)
	case "start":
		if !p.alive {
			f.start(id, propertyRouters[id].dc, propertyRouters[id].seat)
		}
		return "start " + string(id)
	case "crash":
		f.crash(en)
		return "crash " + string(en)
	case "unreachable":
		f.engines[en].unreachable = !f.engines[en].unreachable
		if f.engines[en].unreachable {
			f.crash(en)
		}
		return "unreachable " + string(en) + " " + strconv.FormatBool(f.engines[en].unreachable)
	default:
		*lossy = !*lossy
		return "loss"
	}
}

var propertyActions = []string{
	"acquire", "acquire", "acquire", "acquire", "hold", "send", "advance", "advance", "advance", "advance",
	"partition", "heal", "pause", "resume", "kill", "start", "crash", "unreachable", "loss",
}

// recoverFleet ends every failure and runs for longer than the longest request.
func recoverFleet(f *fleet) {
	clear(f.partitions)
	for _, id := range f.engineIDs() {
		f.engines[id].unreachable = false
	}
	for _, id := range f.routerIDs() {
		p := f.routers[id]
		if p.paused {
			f.resume(id)
		}
		if !p.alive {
			f.start(id, propertyRouters[id].dc, propertyRouters[id].seat)
		}
	}
	for _, rq := range f.sortedRequests() {
		if rq.state == "granted" {
			f.send(rq)
		}
	}
	f.run(30 * time.Second)
}

// checkCapacity requests more permits than the limit from r4, which for two of the
// engines is in another data centre. A request may fail because the router knew an
// engine's earlier process; later ones then stand for the front end's retries.
func checkCapacity(rt *rapid.T, f *fleet, trace []string) {
	for _, en := range f.engineIDs() {
		for i := range 21 {
			rq := &request{name: fmt.Sprintf("%s-last%d", en, i), router: "r4", length: time.Hour}
			f.acquire(rq, node.PermitSpec{Upstream: en, Account: "a", Weight: 1})
			if i%7 == 6 {
				f.run(200 * time.Millisecond)
			}
		}
		if got, want := len(f.engines[en].running), 5; got != want {
			rt.Fatalf("in flight at %s after recovery: got %d, want %d; trace %v", en, got, want, trace)
		}
	}
}
