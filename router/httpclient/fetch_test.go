package httpclient

import (
	"net/http"
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
		_, _, err = c.Fetch(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", Deadline: deadline}, Wait{Until: deadline}, 64<<10)
		return err
	})
}
