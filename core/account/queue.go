package account

import (
	"slices"

	"camphorpulley.org/core"
)

// Waiting is one queued item of an account.
type Waiting[T any] struct {
	Account  core.Account
	Weight   int
	Priority int
	Item     T
}

// Queue orders waiting items by priority, and within a priority by deficit
// round robin over accounts. The zero value is an empty queue.
type Queue[T any] struct {
	levels []*level[T]
	size   int
}

type level[T any] struct {
	priority int
	lanes    []*lane[T]
	next     int
}

type lane[T any] struct {
	account core.Account
	credit  int
	items   []Waiting[T]
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item behind the others of its account.
func (q *Queue[T]) Push(w Waiting[T]) {
	l := q.level(w.Priority)
	i := slices.IndexFunc(l.lanes, func(a *lane[T]) bool { return a.account == w.Account })
	if i < 0 {
		l.lanes = append(l.lanes, &lane[T]{account: w.Account})
		i = len(l.lanes) - 1
	}
	l.lanes[i].items = append(l.lanes[i].items, w)
	q.size++
}

func (q *Queue[T]) level(priority int) *level[T] {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int {
		return p - l.priority
	})
	if !found {
		q.levels = slices.Insert(q.levels, i, &level[T]{priority: priority})
	}
	return q.levels[i]
}

// Pop removes and returns the item that is served next.
func (q *Queue[T]) Pop() (Waiting[T], bool) {
	for _, l := range q.levels {
		if w, ok := l.pop(); ok {
			q.size--
			return w, true
		}
	}
	return Waiting[T]{}, false
}

// pop serves the lane in turn until its credit is used, then the one after it.
func (l *level[T]) pop() (Waiting[T], bool) {
	if len(l.lanes) == 0 {
		return Waiting[T]{}, false
	}
	l.next %= len(l.lanes)
	current := l.lanes[l.next]
	w := current.items[0]
	if current.credit <= 0 {
		current.credit = max(w.Weight, 1)
	}
	current.items = current.items[1:]
	current.credit--
	switch {
	case len(current.items) == 0:
		l.lanes = slices.Delete(l.lanes, l.next, l.next+1)
	case current.credit == 0:
		l.next++
	}
	return w, true
}

// Drop removes the items for which gone reports true and returns how many
// there were.
func (q *Queue[T]) Drop(gone func(T) bool) int {
	before := q.size
	for _, l := range q.levels {
		for _, a := range l.lanes {
			kept := slices.DeleteFunc(a.items, func(w Waiting[T]) bool { return gone(w.Item) })
			q.size -= len(a.items) - len(kept)
			a.items = kept
		}
		l.lanes = slices.DeleteFunc(l.lanes, func(a *lane[T]) bool { return len(a.items) == 0 })
	}
	return before - q.size
}
