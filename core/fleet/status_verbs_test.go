package fleet_test

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core/fleet"
)

// exclusion ROUTER UPSTREAM REASON|none: checks the exclusion in a router's status.
func cmdExclusion(ts *testscript.TestScript, sim *simulation, a []string) {
	want := fleet.Exclusion(a[2])
	if want == "none" {
		want = fleet.NotExcluded
	}
	for _, u := range sim.routers[a[0]].Status(sim.now).Upstreams {
		if string(u.ID) == a[1] {
			if u.Exclusion != want {
				ts.Fatalf("upstream %s at %s: got %q, want %q", a[1], a[0], u.Exclusion, want)
			}
			return
		}
	}
	ts.Fatalf("router %s: got no upstream %s", a[0], a[1])
}

// messages-late ROUTER DURATION: checks the longest recent delay of messages from others.
func cmdMessagesLate(ts *testscript.TestScript, sim *simulation, a []string) {
	if got := sim.routers[a[0]].MessageDelay(sim.now).String(); got != a[1] {
		ts.Fatalf("delay of messages to %s: got %s, want %s", a[0], got, a[1])
	}
}

// readiness ROUTER REASON|serving: checks the readiness of a router.
func cmdReadiness(ts *testscript.TestScript, sim *simulation, a []string) {
	want := a[1]
	if want == "serving" {
		want = ""
	}
	if got := string(sim.routers[a[0]].Readiness(sim.now)); got != want {
		ts.Fatalf("router %s: got %q, want %q", a[0], got, want)
	}
}

// catalog-version ROUTER VERSION: checks the version in force at a router.
func cmdCatalogVersion(ts *testscript.TestScript, sim *simulation, a []string) {
	got := uint64(0)
	if c := sim.routers[a[0]].Catalog(); c != nil {
		got = c.Version
	}
	if want, err := strconv.ParseUint(a[1], 10, 64); err != nil || got != want {
		ts.Fatalf("version at %s: got %d, want %s", a[0], got, a[1])
	}
}

// refused-parts ROUTER COUNT: checks the number of parts under which a router refuses
// requests.
func cmdRefusedParts(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.routers[a[0]].RefusedParts()
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("parts refused at %s: got %d, want %s", a[0], got, a[1])
	}
}

// expire-parts: all routers drop the parts that were not used for long.
func cmdExpireParts(_ *testscript.TestScript, sim *simulation, _ []string) {
	sim.each(nil, func(f *fleet.Fleet) { f.ExpireParts(sim.now) })
}

// inventory-targets COUNT ROUTER...: checks how many engines these routers query for
// their cache inventory.
func cmdInventoryTargets(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	for _, id := range a[1:] {
		engines, _ := sim.routers[id].InventoryTargets(sim.now)
		got += len(engines)
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("inventory targets of %v: got %d engines, want %s", a[1:], got, a[0])
	}
}

// load ROUTER UPSTREAM WANT: checks the load of an upstream in a router's status.
func cmdLoad(ts *testscript.TestScript, sim *simulation, a []string) {
	for _, u := range sim.routers[a[0]].Status(sim.now).Upstreams {
		if string(u.ID) != a[1] {
			continue
		}
		if got := strconv.Itoa(u.Load); got != a[2] {
			ts.Fatalf("load of %s at %s: got %s, want %s", a[1], a[0], got, a[2])
		}
		return
	}
	ts.Fatalf("router %s: got no upstream %s", a[0], a[1])
}
