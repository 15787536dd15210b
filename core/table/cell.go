package table

import "sync"

// Cell protects a value with a mutex that has a rank in the lock order. The zero
// value protects the zero value of T at RankNone, where the order is not checked;
// cells whose locks are nested must be made by New.
type Cell[T any] struct {
	mu    sync.Mutex
	rank  Rank
	value T
}

// New returns a cell of the given rank that protects value.
func New[T any](rank Rank, value T) *Cell[T] {
	return &Cell[T]{rank: rank, value: value}
}

// Do locks the cell and calls fn with the Hold for nested locks and the protected
// value. It panics with an OrderError if the lock order forbids the lock, since
// that is a programming error.
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

// Read locks the cell and returns the result of fn on the protected value.
func Read[T, R any](c *Cell[T], held Hold, fn func(*T) R) R {
	var result R
	c.Do(held, func(_ Hold, value *T) {
		result = fn(value)
	})
	return result
}
