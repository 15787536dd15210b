package node_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// The properties are checked with the same seed each time, unless the command
// line gives another one with -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
