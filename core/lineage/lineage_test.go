package lineage

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/core"
)

var knowledgeByName = map[string]Knowledge{"unsure": Unsure, "mixed": Mixed, "uniform": Uniform, "recorded": Recorded}

// eachLine calls run with both sides of the arrow in each line of a file that has one.
func eachLine(t *testing.T, file string, run func(given, want string)) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for line := range strings.Lines(string(text)) {
		if given, want, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " -> "); ok && !strings.HasPrefix(line, "#") {
			lines++
			run(given, want)
		}
	}
	if lines == 0 {
		t.Fatalf("%s: got no lines with an arrow, want some", file)
	}
}

// TestResolve guards against streams that go on at another release (ORDER): it resolves
// what routers know as each line of testdata/resolve.txt states it.
func TestResolve(t *testing.T) {
	eachLine(t, "testdata/resolve.txt", func(given, want string) {
		var all []Report
		for _, word := range strings.Fields(given) {
			name, release, _ := strings.Cut(word, ":")
			all = append(all, Report{Knowledge: knowledgeByName[name], Release: release})
		}
		o := Resolve(all...)
		got := "unknown"
		switch {
		case o.Known && o.Release == "":
			got = "(none stated)"
		case o.Known:
			got = o.Release
		}
		if got != want || !o.Begun {
			t.Errorf("%s: got %s, begun %t, want %s and begun", given, got, o.Begun, want)
		}
	})
}

// TestDoubt guards against streams that go on at a process that has replaced another one
// under its id (ORDER), as each line of testdata/doubt.txt states it.
func TestDoubt(t *testing.T) {
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	d := Doubt{Since: start, StartedMS: 5, Sequence: 7}
	eachLine(t, "testdata/doubt.txt", func(given, want string) {
		var after string
		var startedMS int64
		var sequence uint64
		if _, err := fmt.Sscanf(given, "%s started=%d sequence=%d", &after, &startedMS, &sequence); err != nil {
			t.Fatal(err)
		}
		later, err := time.ParseDuration(after)
		if err != nil {
			t.Fatal(err)
		}
		got := "doubt"
		if d.Certain(start.Add(later), startedMS, sequence) {
			got = "certain"
		}
		if got != want {
			t.Errorf("%s: got %s, want %s", given, got, want)
		}
	})
}

// TestRecords checks that records are found until they are over, that the newest of a stream
// counts, and that holders are told once.
func TestRecords(t *testing.T) {
	start := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	var r Records
	for _, release := range []string{"v1", "v2"} {
		r.Begin(start, Record{Stream: 1, Pool: "p", Certain: true, Release: release, Until: start.Add(time.Second)})
	}
	r.Keep(start, Record{Stream: 2, Pool: "p", Until: start.Add(time.Second)})
	r.Keep(start, Record{Stream: 3, Pool: "p", Until: start})
	if got := len(r.TakeUnsent(map[core.Pool]bool{"q": true})); got != 0 {
		t.Errorf("records of another pool: got %d, want 0", got)
	}
	for _, want := range []int{1, 0} {
		if got := len(r.TakeUnsent(map[core.Pool]bool{"p": true})); got != want {
			t.Errorf("records for holders: got %d, want %d", got, want)
		}
	}
	if got, ok := r.Find(start, 1); !ok || got.Report() != (Report{Knowledge: Recorded, Release: "v2"}) {
		t.Errorf("stream 1: got %+v, found %t, want one recorded at v2", got, ok)
	}
	if got, ok := r.Find(start, 2); !ok || got.Report().Knowledge != Mixed {
		t.Errorf("stream 2, whose release is uncertain: got %+v, found %t, want mixed", got, ok)
	}
	if _, ok := r.Find(start, 3); ok {
		t.Error("stream 3, which was over at once: got a record, want none")
	}
	later := start.Add(time.Second)
	if _, ok := r.Find(later, 1); ok {
		t.Error("stream 1 a second later: got a record, want none")
	}
	if r.Expire(later); len(r.byStream) != 0 {
		t.Errorf("records a second later: got %d, want none", len(r.byStream))
	}
}
