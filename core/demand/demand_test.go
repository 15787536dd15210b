package demand

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/core"
)

// TestRate runs testdata/rate.txt: it guards against prompts that many callers use at once
// and that are taken for rare ones.
func TestRate(t *testing.T) {
	text, err := os.ReadFile("testdata/rate.txt")
	if err != nil {
		t.Fatal(err)
	}
	var k Keys
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		fields := strings.Fields(line)
		if fields[0] == "#" {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		now := time.Unix(100, 0).Add(at)
		if fields[1] != "rate" {
			for _, key := range fields[1:] {
				k.Add(now, core.Digest(key[0]))
			}
			continue
		}
		routers, err := strconv.Atoi(fields[3])
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		want, err := strconv.ParseFloat(fields[4], 64)
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		if got := k.Rate(now, core.Digest(fields[2][0]), routers); math.Abs(got-want) > 1e-9 {
			t.Errorf("line %d: rate: got %g, want %g", i+1, got, want)
		}
	}
}

// TestKeysAreBounded checks that the number of keys is bounded, and that those without recent
// requests are dropped.
func TestKeysAreBounded(t *testing.T) {
	var k Keys
	now := time.Unix(100, 0)
	for i := range 2 * maxKeys {
		k.Add(now, core.Digest(i))
	}
	if got := len(k.byKey); got != maxKeys {
		t.Errorf("keys: got %d, want %d", got, maxKeys)
	}
	k.Add(now.Add(2*span), 1)
	if got := len(k.byKey); got != 1 {
		t.Errorf("keys after a pause: got %d, want 1", got)
	}
}
