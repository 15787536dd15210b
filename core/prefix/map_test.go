package prefix

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorpulley.org/core"
)

// TestUsedPartTokensBounded checks that UsedPartTokens is the sum of the engine's
// parts without those known only from its inventory, and never exceeds the usable
// fraction of the cache.
func TestUsedPartTokensBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cacheTokens = 1000
		var m Map
		now := time.Unix(0, 0)
		for range 200 {
			now = now.Add(time.Second)
			part := Part{ID: core.Digest(rapid.IntRange(1, 30).Draw(t, "part")), Tokens: rapid.IntRange(1, 400).Draw(t, "tokens")}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 3:
				m.Sweep(now)
			case 0:
				m.AddInventory(now, "e", []Part{part})
			case 1:
				m.AddFromPeer(now, []CachedPart{{Upstream: "e", Part: part}}, cacheTokens)
			default:
				m.AddUsed(now, "e", []Part{part}, cacheTokens)
			}
			want := 0
			for _, held := range m.engine("e").parts {
				if !held.fromInventory {
					want += held.tokens
				}
			}
			if got := m.UsedPartTokens("e"); got != want || got > usableFraction*cacheTokens {
				t.Fatalf("tokens of used parts: got %d, want %d and at most %g", got, want, usableFraction*cacheTokens)
			}
		}
	})
}

// TestCachedTokens checks that a part counts only if the engine holds all parts
// before it, and only until maxAge.
func TestCachedTokens(t *testing.T) {
	var m Map
	now := time.Unix(0, 0)
	m.AddUsed(now, "e", []Part{{ID: 1, Tokens: 10}, {ID: 3, Tokens: 30}}, 0)
	prompt := []Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 3, Tokens: 30}}
	if got, want := m.CachedTokens(now, "e", prompt), 10; got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := m.CachedTokens(now.Add(2*maxAge), "e", prompt), 0; got != want {
		t.Errorf("tokens after twice maxAge: got %d, want %d", got, want)
	}
}

// TestSweep checks that parts not seen within maxAge are dropped, also those from an
// inventory.
func TestSweep(t *testing.T) {
	var m Map
	now := time.Unix(1000, 0)
	m.AddInventory(now, "e", []Part{{ID: 1, Tokens: 10}})
	m.AddUsed(now, "e", []Part{{ID: 2, Tokens: 20}}, 0)
	m.Sweep(now.Add(2 * maxAge))
	if got := len(m.engine("e").parts); got != 0 {
		t.Errorf("parts: got %d, want none", got)
	}
	if got := m.UsedPartTokens("e"); got != 0 {
		t.Errorf("tokens of used parts: got %d, want 0", got)
	}
}
