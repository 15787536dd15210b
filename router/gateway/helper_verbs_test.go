package gateway_test

import (
	"net/http/httptest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"

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

// helper: starts another router, which the gateway knows.
func cmdHelper(ts *testscript.TestScript, f *fixture, _ []string) {
	h := &helper{}
	h.fleet, h.gateway = newGateway("r2", &httpclient.Pool{})
	h.server = httptest.NewServer(h.gateway)
	ts.Defer(h.server.Close)
	h.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, f.entries)
	f.helper = h
	f.fleet.AddMember(time.Now(), fleet.Member{ID: "r2", DataCentre: "a"})
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

// stop-helper: the helper ends.
func cmdStopHelper(_ *testscript.TestScript, f *fixture, _ []string) {
	f.helper.server.CloseClientConnections()
	f.helper.server.Close()
}
