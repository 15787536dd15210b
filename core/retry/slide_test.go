package retry

import (
	"testing"
	"time"
)

// TestSlidingWindow: no window has more retries than the slack, also one that
// begins within a step. Found by TestSharedBudget with seed 14679821699534615151:
// the oldest step was forgotten when the newest had just begun.
func TestSlidingWindow(t *testing.T) {
	terms := Terms{Slack: 10, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	for _, offset := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 490 * time.Millisecond} {
		var s Shared
		got := 0
		for _, at := range []time.Duration{0, 9600 * time.Millisecond, 9900 * time.Millisecond} {
			for range 20 {
				if s.Take(start.Add(offset).Add(at), terms, 1) {
					got++
				}
			}
		}
		if want := int(terms.Slack); got > want {
			t.Errorf("retries within 9.9 s from %s on: got %d, want at most %d", offset, got, want)
		}
	}
}
