package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestMergeOrder guards against routers that disagree on which parts are refused: all
// that have the same evidence refuse the same, in whatever order and however often it
// came.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Uint64Range(1, 4)
		sources := make([]poison.Parts, 3)
		var sent [][]poison.Evidence
		now := start
		for i := range rapid.IntRange(1, 30).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			s := &sources[rapid.IntRange(0, len(sources)-1).Draw(t, "router")]
			parts := digests(rapid.SliceOfNDistinct(part, 1, 3, rapid.ID).Draw(t, "parts"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				s.RecordAnswer(now, parts)
			} else {
				s.RecordBreak(now, parts, core.Digest(i), fmt.Sprint("u", rapid.IntRange(1, 5).Draw(t, "upstream")))
			}
			sent = append(sent, s.Evidence(now, true))
		}
		var first, second poison.Parts
		for _, e := range sent {
			first.Merge(now, e)
		}
		for _, i := range rapid.Permutation(indices(len(sent))).Draw(t, "order") {
			second.Merge(now, sent[i])
			second.Merge(now, sent[i])
		}
		if got, want := second.Refused(), first.Refused(); !slices.Equal(got, want) {
			t.Fatalf("refused parts in another order: got %v, want %v", got, want)
		}
	})
}

// TestAnswerAccepts guards against parts that stay refused though they are sound: after an
// answer on all parts of a prompt, the next request with them is accepted.
func TestAnswerAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p poison.Parts
		now := start
		parts := digests(rapid.SliceOfNDistinct(rapid.Uint64Range(1, 9), 1, 5, rapid.ID).Draw(t, "parts"))
		for i := range rapid.IntRange(0, 20).Draw(t, "breaks") {
			now = now.Add(100 * time.Millisecond)
			p.RecordBreak(now, parts, core.Digest(i), fmt.Sprint("u", i))
		}
		p.RecordAnswer(now, parts)
		if got := p.Check(now, parts); got.Refused || got.Probe {
			t.Fatalf("after an answer: got %+v, want acceptance", got)
		}
	})
}

// TestBounds guards against memory that grows with what callers send.
func TestBounds(t *testing.T) {
	const most = 512
	var p poison.Parts
	for i := range core.Digest(3 * most) {
		p.RecordBreak(start, []core.Digest{i}, i, "u1")
	}
	got := 0
	for i := range core.Digest(3 * most) {
		got += len(p.EvidenceOf(start, []core.Digest{i}))
	}
	if got > most {
		t.Errorf("suspected parts: got %d, want at most %d", got, most)
	}
	if got, most := len(p.Evidence(start, true)), 64; got > most {
		t.Errorf("parts in a message: got %d, want at most %d", got, most)
	}
}

func digests(all []uint64) []core.Digest {
	out := make([]core.Digest, 0, len(all))
	for _, d := range all {
		out = append(out, core.Digest(d))
	}
	return out
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
