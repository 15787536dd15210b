package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/httpclient"
)

// helper is another router, which reaches all upstreams.
type helper struct {
	fleet   *fleet.Fleet
	gateway *gateway.Handler
	server  *httptest.Server
}

// helper [ID]: starts another router, r2 by default, which the gateway knows.
func cmdHelper(ts *testscript.TestScript, f *fixture, a []string) {
	id := core.RouterID("r2")
	if len(a) > 0 {
		id = core.RouterID(a[0])
	}
	h := &helper{}
	h.fleet, h.gateway = newGateway(id, &httpclient.Pool{})
	h.gateway.Relayed = true
	h.server = startServer(h.gateway)
	ts.Defer(h.server.Close)
	h.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, f.entries)
	f.helpers = append(f.helpers, h)
	f.fleet.AddMember(time.Now(), fleet.Member{ID: id, DataCentre: "a", Detour: h.server.Listener.Addr().String()})
}

// unreachableAddress is an address that refuses connections.
const unreachableAddress = "127.0.0.1:1"

// cut-off: the gateway, but not the helper, is refused by all upstreams.
func cmdCutOff(_ *testscript.TestScript, f *fixture, _ []string) {
	f.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, lo.Map(f.entries, func(e roster.Entry, _ int) roster.Entry {
		e.Address = unreachableAddress
		return e
	}))
}

// stop-helper-in DURATION: the first helper breaks its connections to other routers after a time.
func cmdStopHelperIn(ts *testscript.TestScript, f *fixture, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	time.AfterFunc(d, f.helpers[0].server.CloseClientConnections)
}

// relayed ROUTE METHOD ID runs=N: sends the first helper a request of another router, which may have
// run N times.
func cmdRelayed(ts *testscript.TestScript, f *fixture, a []string) {
	r, err := http.NewRequest(a[1], f.helpers[0].server.URL+"/x", nil)
	ts.Check(err)
	r.Host = a[0]
	r.Header.Set("X-Id", a[2])
	r.Header.Set("Router-Runs", strings.TrimPrefix(a[3], "runs="))
	resp, err := f.helpers[0].server.Client().Do(r)
	ts.Check(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
