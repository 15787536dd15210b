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

// TestEvictsOldest guards against evicting a part that was seen later than others: what is left has
// been seen at least as late, and of one prompt the first parts are left.
func TestEvictsOldest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Map
		now := time.Unix(0, 0)
		lastSeen := map[core.Digest]time.Time{}
		for range 100 {
			now = now.Add(time.Second)
			part := Part{ID: core.Digest(rapid.IntRange(1, 30).Draw(t, "part")), Tokens: rapid.IntRange(1, 400).Draw(t, "tokens")}
			m.AddUsed(now, "e", []Part{part}, 1000)
			lastSeen[part.ID] = now
			var oldest time.Time
			for id := range m.engine("e").parts {
				if at := lastSeen[id]; oldest.IsZero() || at.Before(oldest) {
					oldest = at
				}
			}
			for id, at := range lastSeen {
				if held := m.engine("e").parts[id]; held == nil && at.After(oldest) && id != part.ID {
					t.Fatalf("part %d, seen at %s: got none, want it, since one seen at %s is left", id, at, oldest)
				}
				if m.engine("e").parts[id] == nil {
					delete(lastSeen, id)
				}
			}
		}
	})
	var m Map
	m.AddUsed(time.Unix(0, 0), "e", []Part{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 300}}, 1000)
	m.AddUsed(time.Unix(1, 0), "e", []Part{{ID: 3, Tokens: 300}}, 1000)
	if got, want := m.CachedTokens(time.Unix(1, 0), "e", []Part{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 300}}), 300; got != want {
		t.Errorf("tokens of a prompt whose part was evicted: got %d, want %d", got, want)
	}
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
