package table

import (
	"testing"

	"github.com/go-faster/errors"
)

// TestLockOrder nests each pair of ranks and checks that only the increasing ones
// are permitted.
func TestLockOrder(t *testing.T) {
	for outer := RankConfig; outer <= RankMemory; outer++ {
		for inner := RankConfig; inner <= RankMemory; inner++ {
			got := nest(outer, inner)
			if want := inner > outer; got != want {
				t.Errorf("rank %d inside %d: got permitted %t, want %t", inner, outer, got, want)
			}
		}
	}
}

// nest reports whether a lock of rank inner may be taken inside one of rank outer.
func nest(outer, inner Rank) (permitted bool) {
	defer func() {
		var order *OrderError
		if err, ok := recover().(error); ok && errors.As(err, &order) {
			permitted = false
		}
	}()
	a, b := New(outer, 0), New(inner, 0)
	a.Do(Hold{}, func(held Hold, _ *int) {
		b.Do(held, func(Hold, *int) { permitted = true })
	})
	return permitted
}
