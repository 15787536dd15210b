package prefix

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/core"
)

// TestLoad guards against a table that holds up all requests (CONFIG): it plays each line of
// testdata/long-chats.txt, and checks the median time in which a full table takes up a prompt.
func TestLoad(t *testing.T) {
	text, err := os.ReadFile("testdata/long-chats.txt")
	if err != nil {
		t.Fatal(err)
	}
	loads := 0
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		loads++
		var engines, cache, parts, tokens, prompts int
		var limit string
		if _, err := fmt.Sscanf(line, "engines=%d cache=%d parts=%d tokens=%d prompts=%d at-most=%s", &engines, &cache, &parts, &tokens, &prompts, &limit); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		most, err := time.ParseDuration(limit)
		if err != nil {
			t.Fatal(err)
		}
		if got := medianAdd(engines, cache, parts, tokens, prompts); got > most {
			t.Errorf("%s: got %s for a prompt, want at most %s", strings.TrimSpace(line), got, most)
		}
	}
	if loads == 0 {
		t.Fatal("testdata/long-chats.txt: got no lines, want some")
	}
}

// medianAdd returns the median time that it takes to add one of the last hundred prompts.
func medianAdd(engines, cache, parts, tokens, prompts int) time.Duration {
	var m Map
	now := time.Unix(1000, 0)
	var took []time.Duration
	for i := range prompts {
		prompt := make([]Part, parts)
		for j := range prompt {
			prompt[j] = Part{ID: core.Digest(1 + i*parts + j), Tokens: tokens}
		}
		now = now.Add(time.Second / 23)
		started := time.Now()
		m.AddUsed(now, core.UpstreamID(fmt.Sprint("e", i%engines)), prompt, cache)
		m.TakeUpdates()
		if i >= prompts-100 {
			took = append(took, time.Since(started))
		}
	}
	slices.Sort(took)
	return took[len(took)/2]
}
