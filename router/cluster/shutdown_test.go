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

// staticStore is a store with one route and one upstream that never changes.
type staticStore struct{ upstream string }

func (s staticStore) Newest(_ context.Context, f Feed) (Page, error) {
	switch f {
	case OperatorFeed:
		return Page{Next: 1, Events: []Event{{Catalog: &catalog.Catalog{
			Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {Name: "p"}},
			Routes: []catalog.Route{{
				Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, MaxRuns: 1, Public: true,
				Pools: []catalog.PoolWeight{{Pool: "p", Weight: 1}},
			}},
		}}}}, nil
	case UpstreamFeed:
		entry := roster.Entry{ID: "u", Pool: "p", DataCentre: "a", Address: s.upstream}
		return Page{Next: 1, Events: []Event{{Entry: &entry}}}, nil
	default:
		return Page{}, nil
	}
}

func (s staticStore) Since(ctx context.Context, _ Feed, from uint64, wait time.Duration) (Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Page{Next: from}, ctx.Err()
}

func (s staticStore) Register(context.Context, fleet.Member) error    { return nil }
func (s staticStore) Deregister(context.Context, core.RouterID) error { return nil }

// minimalHeaderCodec parses only the request id and treats every response as signed.
type minimalHeaderCodec struct{}

func (minimalHeaderCodec) ParseRequest(r *http.Request) gateway.RequestHeaders {
	return gateway.RequestHeaders{CallerRequest: fleet.CallerRequest{ID: r.Header.Get("X-Id")}}
}
func (minimalHeaderCodec) SetRefusalHeader(http.Header, string, time.Duration) {}
func (minimalHeaderCodec) AttemptHeader(relay.AttemptInfo) http.Header         { return http.Header{} }
func (minimalHeaderCodec) DetourHeader(a relay.AttemptInfo) http.Header        { return a.Call.Header }

func (minimalHeaderCodec) ParseResponse(int, http.Header) relay.ResponseHeaders {
	return relay.ResponseHeaders{Signed: true}
}

// freeAddress returns a loopback address that no socket listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// get sends a GET request and returns the status and whether the server closes the
// connection; the status is 0 if there was no complete response.
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

// startRouter starts a router before one upstream and waits until it is ready. It stops when
// cancel is called, and exited receives the result of Run.
func startRouter(t *testing.T, upstream string, graceSeconds float64) (settings Settings, cancel func(), exited chan error) {
	t.Helper()
	settings = Settings{
		Router: RouterSection{
			ID: "r1", DataCentre: "a", Listen: freeAddress(t), Ready: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		Bounds: BoundsSection{RetryWindowSeconds: 10, MaxLoadFactor: 2, DrainMS: 2000, GraceSeconds: graceSeconds},
	}
	stop, cancel := context.WithCancel(t.Context())
	exited = make(chan error, 1)
	go func() {
		exited <- Run(daemon.Process{Context: stop, Log: zap.NewNop()}, settings, Adapter{
			Store: staticStore{upstream: upstream}, Incoming: minimalHeaderCodec{}, Outgoing: minimalHeaderCodec{},
		})
	}()
	for tries := 0; ; tries++ {
		if status, _ := get(settings.Router.Ready, "/"); status == http.StatusOK {
			break
		}
		if tries > 500 {
			t.Fatal("readiness after 500 tries in 5 s: got not ready, want status 200")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return settings, cancel, exited
}

// closeMargin is how long the request goes on after the router closes connections.
// Without it, a router that is late to close them could do so after the end of the
// request, and the test would not notice that it cuts requests off.
const closeMargin = 500 * time.Millisecond

// TestGracefulShutdown checks that a router that is told to stop reports at once
// that it isn't ready, still serves new requests, closes callers' connections after
// their responses, and finishes the running requests before it exits.
func TestGracefulShutdown(t *testing.T) {
	unblocked := make(chan struct{})
	started := make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			started <- struct{}{}
			<-unblocked
		}
	}))
	defer upstream.Close()
	unblock := sync.OnceFunc(func() { close(unblocked) })
	defer unblock()
	settings, cancel, exited := startRouter(t, upstream.Listener.Addr().String(), 20)
	statuses := make(chan int, 1)
	go func() {
		status, _ := get(settings.Router.Listen, "/held")
		statuses <- status
	}()
	<-started
	cancel()
	for tries := 0; ; tries++ {
		if status, _ := get(settings.Router.Ready, "/"); status == http.StatusServiceUnavailable {
			break
		}
		if tries > 500 {
			t.Fatal("readiness of a stopping router after 500 tries in 0.5 s: got ready, want status 503")
		}
		time.Sleep(time.Millisecond)
	}
	if status, closes := get(settings.Router.Listen, "/"); status != http.StatusOK || !closes {
		t.Errorf("request during shutdown: got status %d, connection closes %t, want 200 and true", status, closes)
	}
	time.Sleep(balancerDelay + headerReadDelay + closeMargin)
	select {
	case err := <-exited:
		t.Fatalf("got an exit (error %v) while a request was running, want the router to wait", err)
	default:
	}
	unblock()
	if got := <-statuses; got != http.StatusOK {
		t.Errorf("running request: got status %d, want 200", got)
	}
	if err := <-exited; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}

// TestShutdownAnswers guards against cutting off requests without an answer at the end of the
// grace period of a planned stop (LOST): their callers are told that the outcome is unknown.
func TestShutdownAnswers(t *testing.T) {
	started, unblocked := make(chan struct{}, 1), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-unblocked
	}))
	defer upstream.Close()
	defer close(unblocked)
	settings, cancel, exited := startRouter(t, upstream.Listener.Addr().String(), 2)
	statuses := make(chan int, 1)
	go func() {
		status, _ := get(settings.Router.Listen, "/held")
		statuses <- status
	}()
	<-started
	cancel()
	if err := <-exited; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
	select {
	case got := <-statuses:
		if got != http.StatusBadGateway {
			t.Errorf("request at the end of the grace: got status %d, want 502", got)
		}
	case <-time.After(exitMargin):
		t.Error("request at the end of the grace: got no answer, want status 502")
	}
}
