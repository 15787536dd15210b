package backend

import (
	"testing"

	"camphorpulley.org/base/dial/dialtest"
)

// TestEndlessLoadReport guards against processes that end by themselves: an upstream's load
// report has no end.
func TestEndlessLoadReport(t *testing.T) {
	dialtest.Endless(t, 16<<20, func(address string) error {
		_, err := FetchLoad(Target{ID: "u", Address: address, ReportsLoad: true})
		return err
	})
}
