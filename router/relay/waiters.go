package relay

import "camphorpulley.org/core/table"

// waiters holds by key the channels of those that wait for an event. The zero value holds
// none.
type waiters[K comparable] struct {
	byKey table.Cell[map[K]chan struct{}]
}

// wait returns a channel that the next wake of the key closes.
func (w *waiters[K]) wait(key K) <-chan struct{} {
	return table.Read(&w.byKey, table.Hold{}, func(all *map[K]chan struct{}) <-chan struct{} {
		if *all == nil {
			*all = map[K]chan struct{}{}
		}
		c := (*all)[key]
		if c == nil {
			c = make(chan struct{})
			(*all)[key] = c
		}
		return c
	})
}

// wake ends all waits for the key.
func (w *waiters[K]) wake(key K) {
	w.byKey.Do(table.Hold{}, func(_ table.Hold, all *map[K]chan struct{}) {
		if c := (*all)[key]; c != nil {
			close(c)
			delete(*all, key)
		}
	})
}
