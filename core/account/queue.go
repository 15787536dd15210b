package account

import (
	"slices"

	"camphorpulley.org/core"
)

// Entry is a queued item of an account.
type Entry[T any] struct {
	Account  core.Account
	Weight   int
	Priority int
	Item     T
}

// Queue orders entries by priority, the highest first, and within a priority by
// deficit round robin over accounts, with a cost of one for each entry. The zero
// value is an empty queue.
type Queue[T any] struct {
	// levels is sorted by descending priority.
	levels []*level[T]
	size   int
}

type level[T any] struct {
	priority int
	accounts []*accountQueue[T]
	// next is the index of the account in turn.
	next int
}

type accountQueue[T any] struct {
	account core.Account
	// credit is the number of entries that may still be served in this turn.
	credit int
	items  []Entry[T]
}

// Len returns the number of queued entries.
func (q *Queue[T]) Len() int { return q.size }

// Push appends an entry to those of its account.
func (q *Queue[T]) Push(e Entry[T]) {
	l := q.level(e.Priority)
	i := slices.IndexFunc(l.accounts, func(a *accountQueue[T]) bool { return a.account == e.Account })
	if i < 0 {
		l.accounts = append(l.accounts, &accountQueue[T]{account: e.Account})
		i = len(l.accounts) - 1
	}
	l.accounts[i].items = append(l.accounts[i].items, e)
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

// Pop removes and returns the entry that is served next.
func (q *Queue[T]) Pop() (Entry[T], bool) {
	for _, l := range q.levels {
		if e, ok := l.pop(); ok {
			q.size--
			return e, true
		}
	}
	return Entry[T]{}, false
}

// pop serves the account in turn until its credit is used up or it has no more
// entries, then the next one.
func (l *level[T]) pop() (Entry[T], bool) {
	if len(l.accounts) == 0 {
		return Entry[T]{}, false
	}
	l.next %= len(l.accounts)
	current := l.accounts[l.next]
	e := current.items[0]
	if current.credit <= 0 {
		current.credit = max(e.Weight, 1)
	}
	current.items = current.items[1:]
	current.credit--
	switch {
	case len(current.items) == 0:
		l.accounts = slices.Delete(l.accounts, l.next, l.next+1)
	case current.credit == 0:
		l.next++
	}
	return e, true
}

// Remove removes the entries whose item match accepts and returns their number.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := q.size
	for _, l := range q.levels {
		for _, a := range l.accounts {
			kept := slices.DeleteFunc(a.items, func(e Entry[T]) bool { return match(e.Item) })
			q.size -= len(a.items) - len(kept)
			a.items = kept
		}
		l.accounts = slices.DeleteFunc(l.accounts, func(a *accountQueue[T]) bool { return len(a.items) == 0 })
	}
	return before - q.size
}
