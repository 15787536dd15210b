package main

import (
	"container/heap"
	"time"
)

// queue holds items by the time at which they are due. Items of the same time are
// taken in the order in which they were added. The zero value is empty.
type queue[T any] struct {
	items entries[T]
	added int
}

type entry[T any] struct {
	at    time.Time
	order int
	item  T
}

// add adds an item that is due at a time.
func (q *queue[T]) add(at time.Time, item T) {
	q.added++
	heap.Push(&q.items, entry[T]{at: at, order: q.added, item: item})
}

// take removes the earliest item and returns it with its time; false if there is none.
func (q *queue[T]) take() (time.Time, T, bool) {
	if len(q.items) == 0 {
		var none T
		return time.Time{}, none, false
	}
	e, _ := heap.Pop(&q.items).(entry[T])
	return e.at, e.item, true
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) {
	if item, ok := x.(entry[T]); ok {
		*e = append(*e, item)
	}
}

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
