package order

import (
	"time"

	"camphorpulley.org/core"
)

// Ledger holds the state of each key, as computed from the records in the log.
// The zero value has applied no record.
type Ledger struct {
	orders map[Key]Order
	// queue holds the keys in the order of their claims, for Prune.
	queue []claimedKey
	// lastOffset is the offset of the last applied record.
	lastOffset core.Offset
}

type claimedKey struct {
	key Key
	at  time.Time
}

// LastOffset returns the offset of the last applied record.
func (l *Ledger) LastOffset() core.Offset { return l.lastOffset }

// BeginRecord notes that the record at an offset is being applied. It returns false
// if that record was applied before.
func (l *Ledger) BeginRecord(offset core.Offset) bool {
	if offset <= l.lastOffset {
		return false
	}
	l.lastOffset = offset
	return true
}

// Len returns the number of known keys.
func (l *Ledger) Len() int { return len(l.orders) }

// Get returns the order of a key; its state is Open if the key is unknown.
func (l *Ledger) Get(k Key) Order { return l.orders[k] }

// IsWinner reports whether a claim has won its key, also once the order has run.
func (l *Ledger) IsWinner(c Claim) bool { return l.orders[c.Key].heldBy(c) }

// ApplyClaim applies a claim. The first claim on an open key wins; others are
// ignored.
func (l *Ledger) ApplyClaim(now time.Time, c Claim) {
	if l.orders[c.Key].State != Open {
		return
	}
	if l.orders == nil {
		l.orders = map[Key]Order{}
	}
	l.orders[c.Key] = Order{Claim: c, State: Claimed, ClaimedAt: now}
	l.queue = append(l.queue, claimedKey{c.Key, now})
}

// ApplyVoid applies the record by which a claimant states that it has not run the
// order and never will. If its claim is the winning one and has no result, the
// key is open again.
func (l *Ledger) ApplyVoid(c Claim) {
	if o := l.orders[c.Key]; o.heldBy(c) && o.State == Claimed {
		delete(l.orders, c.Key)
	}
}

// ApplyResult applies the result of an order. Only the first result of the
// winning claim counts.
func (l *Ledger) ApplyResult(c Claim, r Result) {
	o := l.orders[c.Key]
	if !o.heldBy(c) || o.State == Done {
		return
	}
	o.State = Done
	o.Result = r
	l.orders[c.Key] = o
}

// Prune drops the keys that were claimed longer ago than retention.
func (l *Ledger) Prune(now time.Time, retention time.Duration) {
	n := 0
	for n < len(l.queue) && now.Sub(l.queue[n].at) > retention {
		claimed := l.queue[n]
		if o, ok := l.orders[claimed.key]; ok && !o.ClaimedAt.After(claimed.at) {
			delete(l.orders, claimed.key)
		}
		n++
	}
	l.queue = l.queue[n:]
}
