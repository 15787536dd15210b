package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucketKeepsRate checks that a bucket never grants more within any span than its rate
// permits in that time and what it holds at most, however it is asked.
func TestBucketKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		now := time.Unix(0, 0)
		var b Bucket
		type grant struct {
			at    time.Time
			count int
		}
		var grants []grant
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			count, retry := b.Take(now, rate, rapid.IntRange(0, 8).Draw(t, "count"), rapid.Bool().Draw(t, "preferred"))
			if count == 0 && (retry < minRetry || retry > maxRetry) {
				t.Fatalf("retry: got %s, want %s to %s", retry, minRetry, maxRetry)
			}
			grants = append(grants, grant{now, count})
		}
		perSecond := max(rate, MinPerSecond)
		for i, first := range grants {
			sum := 0
			for _, g := range grants[i:] {
				sum += g.count
				most := perSecond*g.at.Sub(first.at).Seconds() + max(perSecond*burstTime.Seconds(), 1)
				if float64(sum) > most+1e-6 {
					t.Fatalf("granted within %s: got %d, want at most %.2f", g.at.Sub(first.at), sum, most)
				}
			}
		}
	})
}

// TestBucketBeginsEmpty checks that a new allotter grants nothing at first: what the one
// before has granted may still be used.
func TestBucketBeginsEmpty(t *testing.T) {
	var b Bucket
	now := time.Unix(100, 0)
	if got, _ := b.Take(now, 100, 1, true); got != 0 {
		t.Errorf("granted at first: got %d, want 0", got)
	}
	if got, _ := b.Take(now.Add(100*time.Millisecond), 100, 20, true); got != 10 {
		t.Errorf("granted after 0.1 s at 100 a second: got %d, want 10", got)
	}
}

// TestBucketPrefers checks that requests that could run elsewhere wait while there is none
// left for those that are best served here.
func TestBucketPrefers(t *testing.T) {
	var b Bucket
	now := time.Unix(100, 0)
	b.Take(now, 2, 1, true)
	if got, _ := b.Take(now.Add(510*time.Millisecond), 2, 1, false); got != 0 {
		t.Errorf("granted to others: got %d, want 0", got)
	}
	if got, _ := b.Take(now.Add(510*time.Millisecond), 2, 1, true); got != 1 {
		t.Errorf("granted to preferred ones: got %d, want 1", got)
	}
}

// TestPurseExpires checks that a granted request can't be used after its lease.
func TestPurseExpires(t *testing.T) {
	var p Purse
	now := time.Unix(100, 0)
	p.Grant(now, 2)
	if got := p.Use(now.Add(Lease)); !got {
		t.Error("use within the lease: got false, want true")
	}
	if got := p.Use(now.Add(Lease + time.Millisecond)); got {
		t.Error("use after the lease: got true, want false")
	}
}
