package cluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/relay"
)

// oneStore holds one route and one upstream, and never changes.
type oneStore struct{ upstream string }

func (s oneStore) Newest(_ context.Context, f Feed) (Page, error) {
	switch f {
	case Operators:
		return Page{Next: 1, Events: []Event{{Catalog: &catalog.Catalog{
			Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {Name: "p"}},
			Routes: []catalog.Route{{
				Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, MaxAttempts: 1, Public: true,
				Pools: []catalog.PoolWeight{{Pool: "p", Weight: 1}},
			}},
		}}}}, nil
	case Upstreams:
		entry := roster.Entry{ID: "u", Pool: "p", DataCentre: "a", Address: s.upstream}
		return Page{Next: 1, Events: []Event{{Entry: &entry}}}, nil
	default:
		return Page{}, nil
	}
}

func (s oneStore) Since(ctx context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Page{Next: from}, ctx.Err()
}

func (s oneStore) Announce(context.Context, fleet.Member) error  { return nil }
func (s oneStore) Withdraw(context.Context, core.RouterID) error { return nil }

// plainDialect says nothing beside what is needed.
type plainDialect struct{}

func (plainDialect) ParseRequest(r *http.Request) gateway.RequestHeaders {
	return gateway.RequestHeaders{Ask: fleet.Ask{ID: r.Header.Get("X-Id")}}
}
func (plainDialect) SetRefusalHeader(http.Header, string, time.Duration) {}
func (plainDialect) AttemptHeader(relay.Attempt) http.Header             { return http.Header{} }
func (plainDialect) ParseResponse(int, http.Header) relay.ResponseHeaders {
	return relay.ResponseHeaders{Signed: true}
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// get asks a router or its readiness for a status and whether the connection
// closes; 0 if there was no whole answer.
func get(address, path string) (status int, closes bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, false
	}
	r.Host = "h"
	resp, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// TestStop: a router that is told to stop says at once that it isn't ready, still
// serves, closes callers' connections after their answers, and finishes what is in
// hand.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	held := make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			held <- struct{}{}
			<-release
		}
	}))
	defer upstream.Close()
	let := sync.OnceFunc(func() { close(release) })
	defer let()
	file := File{
		Router: RouterSection{
			ID: "r1", DataCentre: "a", Listen: freeAddress(t), Ready: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		Bounds: BoundsSection{Window: 10, Multiple: 2, Drain: 2000, Grace: 20},
	}
	stop, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(daemon.Process{Context: stop, Log: zap.NewNop()}, file, Adapter{
			Store: oneStore{upstream: upstream.Listener.Addr().String()}, Incoming: plainDialect{}, Outgoing: plainDialect{},
		})
	}()
	for tries := 0; ; tries++ {
		if status, _ := get(file.Router.Ready, "/"); status == http.StatusOK {
			break
		}
		if tries > 500 {
			t.Fatal("got a router that never became ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
	answered := make(chan int, 1)
	go func() {
		status, _ := get(file.Router.Listen, "/held")
		answered <- status
	}()
	<-held
	cancel()
	for tries := 0; ; tries++ {
		if status, _ := get(file.Router.Ready, "/"); status == http.StatusServiceUnavailable {
			break
		}
		if tries > 500 {
			t.Fatal("got a stopping router that stays ready")
		}
		time.Sleep(time.Millisecond)
	}
	if status, closes := get(file.Router.Listen, "/"); status != http.StatusOK || !closes {
		t.Errorf("request after the stop: got status %d, closes %t, want 200 and true", status, closes)
	}
	time.Sleep(notice + settle)
	select {
	case err := <-ended:
		t.Fatalf("got an end with a request in hand (error %v)", err)
	default:
	}
	let()
	if got := <-answered; got != http.StatusOK {
		t.Errorf("request in hand: got status %d, want 200", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("end: got %v, want none", err)
	}
}
