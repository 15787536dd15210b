package fleet_test

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

// links DELAY PRICE: sets what the links between data centres cost for routers that start later.
func cmdLinks(ts *testscript.TestScript, sim *simulation, a []string) {
	var err error
	sim.links.Delay, err = time.ParseDuration(a[0])
	ts.Check(err)
	sim.links.Price, err = strconv.ParseFloat(a[1], 64)
	ts.Check(err)
}

// count-at DC NAME LEAST MOST: checks how many of the requests NAME, NAME1 and so on went to
// upstreams of a data centre.
func cmdCountAt(ts *testscript.TestScript, sim *simulation, a []string) {
	least, err := strconv.Atoi(a[2])
	ts.Check(err)
	most, err := strconv.Atoi(a[3])
	ts.Check(err)
	got := 0
	for i := 0; ; i++ {
		name := a[1]
		if i > 0 {
			name += strconv.Itoa(i)
		}
		s := sim.requests[name]
		if s == nil {
			break
		}
		if s.refusal == nil && s.target.DataCentre == core.DataCentre(a[0]) {
			got++
		}
	}
	if got < least || got > most {
		ts.Fatalf("requests %s in data centre %s: got %d, want %d to %d", a[1], a[0], got, least, most)
	}
}
