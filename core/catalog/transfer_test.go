package catalog

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// runSteps calls step for each line of a file in testdata: a time since the beginning, a verb
// and its arguments. Lines that begin with # are comments.
func runSteps(t *testing.T, file string, step func(now time.Time, verb string, args []string) string) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		fields := strings.Fields(line)
		if fields[0] == "#" {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatalf("%s:%d: %v", file, i+1, err)
		}
		want := ""
		if last := fields[len(fields)-1]; last == "yes" || last == "no" {
			want, fields = last, fields[:len(fields)-1]
		}
		if got := step(time.Unix(100, 0).Add(at), fields[1], fields[2:]); got != want {
			t.Errorf("%s:%d: %s: got %q, want %q", file, i+1, line, got, want)
		}
	}
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestFetch guards against a router that requests copies of the catalog from several others
// at once.
func TestFetch(t *testing.T) {
	var f Fetch
	var own *Catalog
	runSteps(t, "fetch.txt", func(now time.Time, verb string, args []string) string {
		switch verb {
		case "state":
			return yes(f.Wants(now, own, uint64(number(t, args[0])), now) && f.Take(now, own))
		case "apply":
			own = &Catalog{Version: uint64(number(t, args[0])), Source: make([]byte, number(t, args[1]))}
		case "reply":
			f.RecordReply()
		case "store":
			f.StoreFails = args[0] == "fails"
		}
		return ""
	})
}

// TestSupply guards against a router that sends copies of the catalog to many others at once.
func TestSupply(t *testing.T) {
	var s Supply
	runSteps(t, "supply.txt", func(now time.Time, _ string, args []string) string {
		return yes(s.Take(now, number(t, args[0])))
	})
}
