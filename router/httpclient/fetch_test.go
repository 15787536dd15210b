package httpclient

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"camphorpulley.org/base/dial/dialtest"
)

// TestEndlessFetch guards against processes that end by themselves: what an upstream answers to
// a question of the router has no end.
func TestEndlessFetch(t *testing.T) {
	dialtest.Endless(t, 16<<20, func(address string) error {
		now := time.Now()
		c, err := new(Pool).Get(t.Context(), now, address, Options{ConnectTimeout: time.Second})
		if err != nil {
			return err
		}
		deadline := now.Add(500 * time.Millisecond)
		_, _, err = c.Fetch(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", Deadline: deadline}, Wait{Until: deadline}, 64<<10, func(int, http.Header) error { return nil })
		return err
	})
}

// TestFetchUsesConnection guards against a late response to a question of the router that is taken
// for the one to a request: the connection has carried something before.
func TestFetchUsesConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") }))
	defer server.Close()
	now := time.Now()
	c, err := new(Pool).Get(t.Context(), now, server.Listener.Addr().String(), Options{ConnectTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	deadline := now.Add(time.Second)
	_, _, err = c.Fetch(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", Deadline: deadline}, Wait{Until: deadline}, 64<<10, func(int, http.Header) error { return nil })
	if got := c.Reused(); err != nil || !got {
		t.Errorf("after a question: got error %v and reused=%t, want no error and true", err, got)
	}
}
