package dispatch

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Property tests use a fixed seed unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
