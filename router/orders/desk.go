// Package orders claims at-most-once requests in the platform's log. Claims,
// voided claims and results of many requests go into one append.
package orders

import (
	"context"
	"time"

	"camphorpulley.org/base/logs"

	"go.uber.org/zap"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/core"
	"camphorpulley.org/core/order"
	"camphorpulley.org/core/table"
)

const (
	// claimTimeout is how long a request waits to read its claim in the log.
	claimTimeout = 3 * time.Second
	// resultTimeout is how long a request waits for the result of another
	// one with the same key.
	resultTimeout = 10 * time.Second
	// appendPause is the least time between two appends.
	appendPause = 10 * time.Millisecond
	// failurePause is the time after an append that got no answer.
	failurePause = 200 * time.Millisecond
	// maxBatch is the largest number of entries in one append.
	maxBatch = 512
	// givenMemory is how long a claim that was given up is remembered.
	givenMemory = time.Minute
	// queueLength is the number of entries that wait for the log.
	queueLength = 1 << 16
)

// Appender is the part of the platform's client that the desk uses.
type Appender interface {
	Append(stream string, data []byte) (core.Offset, error)
}

// Desk is the router's place for at-most-once requests.
type Desk struct {
	self        core.RouterID
	incarnation core.Incarnation
	log         *zap.Logger
	appender    Appender
	book        *table.Cell[order.Book]
	entries     chan record.Orders
	open        *table.Cell[open]
}

// New returns a desk that has read nothing.
func New(self core.RouterID, in core.Incarnation, appender Appender, log *zap.Logger) *Desk {
	return &Desk{
		self: self, incarnation: in, log: log, appender: appender,
		book:    table.New(table.RankOrders, order.Book{}),
		entries: make(chan record.Orders, queueLength),
		open:    table.New(table.RankClaims, newOpen()),
	}
}

// claimTries is how often a request claims a key that is voided while it waits.
const claimTries = 3

// Claim decides whether a request may run. The step of the decision is Run,
// Replay or Refuse.
func (d *Desk) Claim(ctx context.Context, key order.Key, body core.Digest) (order.Claim, order.Decision) {
	c := order.Claim{Key: key, Body: body, Router: d.self, Incarnation: d.incarnation}
	for range claimTries {
		c.Serial = table.Read(d.open, table.Hold{}, (*open).next)
		decision := d.try(ctx, c)
		if decision.Step != order.Append {
			return c, decision
		}
	}
	return c, unclaimed()
}

func (d *Desk) try(ctx context.Context, c order.Claim) order.Decision {
	decision := d.decide(c)
	if decision.Step == order.Append {
		decision = d.append(ctx, c)
	}
	if decision.Step == order.Refuse && decision.Refusal.Code == order.InProgress {
		decision = d.await(ctx, c, decision)
	}
	return decision
}

// unclaimed refuses a request that could not be claimed.
func unclaimed() order.Decision {
	return order.Decision{Step: order.Refuse, Refusal: &core.Refusal{
		Status: 503, Certainty: core.NotRun, Code: "log_unavailable",
		Message: "the request could not be claimed; it was not run", RetryAfter: 1,
	}}
}

func (d *Desk) decide(c order.Claim) order.Decision {
	return table.Read(d.book, table.Hold{}, func(b *order.Book) order.Decision { return b.Decide(c) })
}

// append writes a claim to the log and waits until it has been read there.
func (d *Desk) append(ctx context.Context, c order.Claim) order.Decision {
	read := table.Read(d.open, table.Hold{}, func(o *open) chan struct{} { return o.wait(c.Serial) })
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case d.entries <- record.Orders{Claims: []order.Claim{c}}:
	case <-ctx.Done():
		return d.abandon(c)
	}
	select {
	case <-read:
		return d.decide(c)
	case <-ctx.Done():
		return d.abandon(c)
	}
}

// abandon gives up a claim that was not read in time. Should it still stand in
// the log one day, it is voided there.
func (d *Desk) abandon(c order.Claim) order.Decision {
	if !table.Read(d.open, table.Hold{}, func(o *open) bool { return o.abandon(time.Now(), c.Serial) }) {
		return d.decide(c)
	}
	return unclaimed()
}

// await waits for the result of the request that holds the key.
func (d *Desk) await(ctx context.Context, c order.Claim, last order.Decision) order.Decision {
	done := table.Read(d.open, table.Hold{}, func(o *open) chan struct{} { return o.await(c.Key) })
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	if now := d.decide(c); now.Step == order.Replay {
		return now
	}
	select {
	case <-done:
		return d.decide(c)
	case <-ctx.Done():
		return last
	}
}

// Void gives up a claim whose request was not and never will be sent.
func (d *Desk) Void(c order.Claim) {
	d.open.Do(table.Hold{}, func(_ table.Hold, o *open) { o.given[c.Serial] = time.Now() })
	d.put(record.Orders{Voids: []order.Claim{c}})
}

// Finish records the result of a request that has run.
func (d *Desk) Finish(c order.Claim, r order.Result) {
	d.book.Do(table.Hold{}, func(_ table.Hold, b *order.Book) { b.Finished(c, r) })
	d.wake(c.Key)
	d.put(record.Orders{Results: []record.Finished{{Claim: c, Result: r}}})
}

func (d *Desk) put(entry record.Orders) {
	select {
	case d.entries <- entry:
	default:
		d.log.Error("order_entry_dropped")
	}
}

// Fold takes in a record of the orders' stream.
func (d *Desk) Fold(now time.Time, r logservice.Record) {
	entry, err := record.Decode[record.Orders](r.Data)
	if err != nil {
		d.log.Error("order_record_invalid", zap.Uint64("offset", uint64(r.Offset)), logs.Err(err))
	}
	d.book.Do(table.Hold{}, func(_ table.Hold, b *order.Book) {
		if !b.Advance(r.Offset) {
			return
		}
		for _, c := range entry.Claims {
			b.Claimed(now, c)
		}
		for _, c := range entry.Voids {
			b.Voided(c)
		}
		for _, f := range entry.Results {
			b.Finished(f.Claim, f.Result)
		}
		b.Forget(now, order.Window)
	})
	for _, c := range entry.Claims {
		d.claimRead(c)
	}
	for _, f := range entry.Results {
		d.wake(f.Claim.Key)
	}
	for _, c := range entry.Voids {
		d.wake(c.Key)
	}
}

// claimRead wakes the request that waits for a claim, or voids the claim if
// the request has given up.
func (d *Desk) claimRead(c order.Claim) {
	if c.Router != d.self || c.Incarnation != d.incarnation {
		return
	}
	if table.Read(d.open, table.Hold{}, func(o *open) bool { return o.found(time.Now(), c.Serial) }) {
		d.put(record.Orders{Voids: []order.Claim{c}})
	}
}

func (d *Desk) wake(key order.Key) {
	d.open.Do(table.Hold{}, func(_ table.Hold, o *open) { o.wake(key) })
}

// Len returns the number of keys that are remembered.
func (d *Desk) Len() int {
	return table.Read(d.book, table.Hold{}, func(b *order.Book) int { return b.Len() })
}
