package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShares checks that the shares add up to the whole for any number of holders.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.IntRange(0, 1000).Draw(t, "whole")
		n := rapid.IntRange(1, 500).Draw(t, "holders")
		got := 0
		for rank := range n {
			got += Share(whole, n, rank)
		}
		if got != whole {
			t.Fatalf("shares of %d among %d: got a sum of %d", whole, n, got)
		}
	})
}

// TestWindow checks that a sender that sends only while the window's count is below a
// limit exceeds the limit in no span of that length.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		var w Window
		var sent []time.Time
		now := time.Unix(0, 0)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			if w.Count(now, time.Second) < limit {
				w.Add(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			if j := i + limit; j < len(sent) && sent[j].Sub(sent[i]) < time.Second {
				t.Fatalf("got %d within a second, want at most %d", limit+1, limit)
			}
		}
	})
}
