package main

import (
	"testing"

	"camphorpulley.org/base/dial/dialtest"
)

// TestEndlessFetch guards against a client that ends by itself: a router's response has no end.
func TestEndlessFetch(t *testing.T) {
	dialtest.Endless(t, 256<<20, func(address string) error {
		_, err := fetch[[]string](address, "/status")
		return err
	})
}
