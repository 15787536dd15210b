package relay

import "camphorpulley.org/core/table"

// inboxes holds by key the channels of those that wait for messages. The zero value holds
// none.
type inboxes[K comparable, V any] struct {
	byKey table.Cell[map[K][]chan V]
}

// open returns a channel that gets the next messages with the key, as many as size. The
// caller closes it when it no longer waits.
func (b *inboxes[K, V]) open(key K, size int) (messages <-chan V, closeInbox func()) {
	c := make(chan V, size)
	b.byKey.Do(table.Hold{}, func(_ table.Hold, all *map[K][]chan V) {
		if *all == nil {
			*all = map[K][]chan V{}
		}
		(*all)[key] = append((*all)[key], c)
	})
	return c, func() { b.remove(key, c) }
}

func (b *inboxes[K, V]) remove(key K, c chan V) {
	b.byKey.Do(table.Hold{}, func(_ table.Hold, all *map[K][]chan V) {
		var left []chan V
		for _, other := range (*all)[key] {
			if other != c {
				left = append(left, other)
			}
		}
		if len(left) == 0 {
			delete(*all, key)
			return
		}
		(*all)[key] = left
	})
}

// deliver passes a message to those that wait for the key, and reports whether some did. It is
// dropped where there is no room.
func (b *inboxes[K, V]) deliver(key K, v V) (delivered bool) {
	b.byKey.Do(table.Hold{}, func(_ table.Hold, all *map[K][]chan V) {
		for _, c := range (*all)[key] {
			select {
			case c <- v:
				delivered = true
			default:
			}
		}
	})
	return delivered
}
