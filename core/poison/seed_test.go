package poison_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// init makes the property tests use the same seed in each run. The flag
// -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
