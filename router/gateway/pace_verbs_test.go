package gateway_test

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core/fleet"
)

// tellTimeout is how long a script waits for a message to other routers.
const tellTimeout = 2 * time.Second

// watch-told: keeps the messages that the router sends to all others.
func cmdWatchTold(_ *testscript.TestScript, f *fixture, _ []string) {
	f.toldOthers = make(chan fleet.Message, 100)
	f.gateway.Forwarder.Notify = func(m fleet.Message) { f.toldOthers <- m }
}

// told-pace UPSTREAM HUNDREDTHS: checks that the next message that the router sends to all others
// tells the pace of an upstream's host.
func cmdToldPace(ts *testscript.TestScript, f *fixture, a []string) {
	select {
	case m := <-f.toldOthers:
		if len(m.HostPaces) != 1 || string(m.HostPaces[0].Upstream) != a[0] || strconv.Itoa(m.HostPaces[0].Hundredths) != a[1] {
			ts.Fatalf("message to other routers: got %+v, want the pace %s of %s", m, a[1], a[0])
		}
	case <-time.After(tellTimeout):
		ts.Fatalf("message to other routers: got none, want the pace of %s", a[0])
	}
}

// told-nothing: checks that the router has sent no further message to all others.
func cmdToldNothing(ts *testscript.TestScript, f *fixture, _ []string) {
	time.Sleep(2 * fleet.PaceBatch)
	select {
	case m := <-f.toldOthers:
		ts.Fatalf("message to other routers: got %+v, want none", m)
	default:
	}
}
