package logservice

import (
	"testing"
	"time"

	"camphorpulley.org/base/dial/dialtest"
)

// TestEndlessResponse guards against processes that end by themselves: a response of the log
// service or of the instance list has no end.
func TestEndlessResponse(t *testing.T) {
	dialtest.Endless(t, 128<<20, func(address string) error {
		c := Client{ListAddress: address, Timeout: time.Second}
		_, err := c.Instances()
		return err
	})
}
