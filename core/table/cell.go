package table

import "sync"

// Cell guards one value with a ranked lock. The zero value guards the zero
// value of T at RankNone and must be given a rank by New before it is nested.
type Cell[T any] struct {
	mu    sync.Mutex
	rank  Rank
	value T
}

// New returns a cell of the given rank that guards value.
func New[T any](rank Rank, value T) *Cell[T] {
	return &Cell[T]{rank: rank, value: value}
}

// Do calls fn with the guarded value and the new hold. It panics with an
// OrderError if held forbids the lock, since that is a fault of the program.
func (c *Cell[T]) Do(held Hold, fn func(Hold, *T)) {
	if c.rank != RankNone {
		if err := held.Check(c.rank); err != nil {
			panic(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(Hold{Rank: c.rank}, &c.value)
}

// Read returns what fn computes from the guarded value.
func Read[T, R any](c *Cell[T], held Hold, fn func(*T) R) R {
	var result R
	c.Do(held, func(_ Hold, value *T) {
		result = fn(value)
	})
	return result
}
