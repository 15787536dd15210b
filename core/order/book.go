package order

import (
	"time"

	"camphorpulley.org/core"
)

// Book folds the claims in the log. The zero value has read nothing.
type Book struct {
	orders map[Key]Order
	// queue holds the keys in the order of their claims, for forgetting.
	queue []dated
	read  core.Offset
}

type dated struct {
	key Key
	at  time.Time
}

// Read returns the offset up to which the log was folded.
func (b *Book) Read() core.Offset { return b.read }

// Advance says that the record at an offset was folded. It reports false if
// that was done before.
func (b *Book) Advance(offset core.Offset) bool {
	if offset <= b.read {
		return false
	}
	b.read = offset
	return true
}

// Len returns the number of keys that are known.
func (b *Book) Len() int { return len(b.orders) }

// Get returns what is known of a key.
func (b *Book) Get(k Key) Order { return b.orders[k] }

// Won reports whether a claim is the one that may run the order.
func (b *Book) Won(c Claim) bool { return b.orders[c.Key].holds(c) }

// Claimed folds a claim. The first on an open key wins.
func (b *Book) Claimed(now time.Time, c Claim) {
	if b.orders[c.Key].State != Open {
		return
	}
	if b.orders == nil {
		b.orders = map[Key]Order{}
	}
	b.orders[c.Key] = Order{Claim: c, State: Claimed, At: now}
	b.queue = append(b.queue, dated{c.Key, now})
}

// Voided folds the statement of a claimant that it has not run the order and
// never will. The key is open again.
func (b *Book) Voided(c Claim) {
	if o := b.orders[c.Key]; o.holds(c) && o.State == Claimed {
		delete(b.orders, c.Key)
	}
}

// Finished folds the result of an order.
func (b *Book) Finished(c Claim, r Result) {
	o := b.orders[c.Key]
	if !o.holds(c) || o.State == Done {
		return
	}
	o.State = Done
	o.Result = r
	b.orders[c.Key] = o
}

// Forget drops keys that were claimed longer ago than the window.
func (b *Book) Forget(now time.Time, window time.Duration) {
	n := 0
	for n < len(b.queue) && now.Sub(b.queue[n].at) > window {
		d := b.queue[n]
		if o, ok := b.orders[d.key]; ok && !o.At.After(d.at) {
			delete(b.orders, d.key)
		}
		n++
	}
	b.queue = b.queue[n:]
}
