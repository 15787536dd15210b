package gateway_test

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/roster"
)

// entry ID UPSTREAM [DC]: adds an entry with the address of an upstream, in data centre "b" by
// default: the upstream was started again under another id.
func cmdEntry(ts *testscript.TestScript, f *fixture, a []string) {
	u := f.upstreams[a[1]]
	if u == nil {
		ts.Fatalf("entry: got upstream %s, want one that was started", a[1])
	}
	dc := core.DataCentre("b")
	if len(a) > 2 {
		dc = core.DataCentre(a[2])
	}
	f.entries = append(f.entries, roster.Entry{ID: core.UpstreamID(a[0]), Pool: "p", DataCentre: dc, Address: u.listener.Addr().String()})
	f.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, f.entries)
}
