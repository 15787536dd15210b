package table

import (
	"testing"

	"github.com/go-faster/errors"
)

// TestOrder takes each pair of locks one inside the other.
func TestOrder(t *testing.T) {
	for outer := RankConfig; outer <= RankLinks; outer++ {
		for inner := RankConfig; inner <= RankLinks; inner++ {
			got := nest(outer, inner)
			if want := inner > outer; got != want {
				t.Errorf("rank %d inside %d: got permitted %t, want %t", inner, outer, got, want)
			}
		}
	}
}

// nest reports whether a lock may be taken inside another.
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
