// Package orders makes sure that each at-most-once request runs no more than once
// in the whole fleet. It serves the program camphorpulley. A router claims the
// request's idempotency key in the platform's log before it runs the request, and
// records the result there. One append carries the claims, voided claims and
// results of many requests.
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
	// claimTimeout is how long a request waits until its claim is read from the
	// log.
	claimTimeout = 3 * time.Second
	// resultTimeout is how long a request waits for the result of another
	// request with the same key.
	resultTimeout = 10 * time.Second
	// appendPause is the pause after a successful append.
	appendPause = 10 * time.Millisecond
	// retryDelay is the pause after an append that was not acknowledged.
	retryDelay = 200 * time.Millisecond
	// maxBatchEntries is the largest number of entries that are added to one
	// append.
	maxBatchEntries = 512
	// abandonedRetention is how long an abandoned claim is remembered.
	abandonedRetention = time.Minute
	// queueCapacity is the largest number of entries that wait to be appended.
	queueCapacity = 1 << 16
)

// Appender appends a record to a stream of the platform's log and returns its
// offset.
type Appender interface {
	Append(stream string, data []byte) (core.Offset, error)
}

// Service claims idempotency keys for the requests of one router, and records
// their results.
type Service struct {
	self        core.RouterID
	incarnation core.Incarnation
	log         *zap.Logger
	appender    Appender
	ledger      *table.Cell[order.Ledger]
	// queue holds the claims, voided claims and results that wait to be appended.
	queue   chan record.Orders
	pending *table.Cell[pending]
}

// New returns a service that has read no record of the log yet.
func New(self core.RouterID, in core.Incarnation, appender Appender, log *zap.Logger) *Service {
	return &Service{
		self: self, incarnation: in, log: log, appender: appender,
		ledger:  table.New(table.RankOrders, order.Ledger{}),
		queue:   make(chan record.Orders, queueCapacity),
		pending: table.New(table.RankClaims, newPending()),
	}
}

// maxClaimAttempts is how often a request tries to claim a key. Another attempt
// follows if the claim that holds the key is voided during the wait.
const maxClaimAttempts = 3

// Claim claims the key of a request in the log, and decides whether the request
// may run. It waits until the claim is read, and for the result of another
// request that holds the key. The step of the decision is Run, Replay or
// Refuse.
func (s *Service) Claim(ctx context.Context, key order.Key, content core.Digest) (order.Claim, order.Decision) {
	c := order.Claim{Key: key, Body: content, Router: s.self, Incarnation: s.incarnation}
	for range maxClaimAttempts {
		c.Serial = table.Read(s.pending, table.Hold{}, (*pending).nextSerial)
		decision := s.attemptClaim(ctx, c)
		if decision.Step != order.Append {
			return c, decision
		}
	}
	return c, claimRefusal()
}

func (s *Service) attemptClaim(ctx context.Context, c order.Claim) order.Decision {
	decision := s.decideFromLedger(c)
	if decision.Step == order.Append {
		decision = s.appendClaim(ctx, c)
	}
	if decision.Step == order.Refuse && decision.Refusal.Code == order.CodeInProgress {
		decision = s.awaitResult(ctx, c, decision)
	}
	return decision
}

// claimRefusal refuses a request whose key could not be claimed.
func claimRefusal() order.Decision {
	return order.Decision{Step: order.Refuse, Refusal: &core.Refusal{
		Status: 503, Certainty: core.NotRun, Code: "log_unavailable",
		Message: "the request could not be claimed; it was not run", RetryAfter: time.Second,
	}}
}

func (s *Service) decideFromLedger(c order.Claim) order.Decision {
	return table.Read(s.ledger, table.Hold{}, func(b *order.Ledger) order.Decision { return b.Decide(c) })
}

// appendClaim queues a claim for the log and waits up to claimTimeout until it
// is read from there.
func (s *Service) appendClaim(ctx context.Context, c order.Claim) order.Decision {
	read := table.Read(s.pending, table.Hold{}, func(p *pending) chan struct{} { return p.addClaim(c.Serial) })
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case s.queue <- record.Orders{Claims: []order.Claim{c}}:
	case <-ctx.Done():
		return s.abandonClaim(c)
	}
	select {
	case <-read:
		return s.decideFromLedger(c)
	case <-ctx.Done():
		return s.abandonClaim(c)
	}
}

// abandonClaim gives up a claim that was not read in time and refuses the
// request. If the claim is read later, it is voided. If it was read just
// before, the ledger decides.
func (s *Service) abandonClaim(c order.Claim) order.Decision {
	if !table.Read(s.pending, table.Hold{}, func(p *pending) bool { return p.abandonClaim(time.Now(), c.Serial) }) {
		return s.decideFromLedger(c)
	}
	return claimRefusal()
}

// awaitResult waits up to resultTimeout for the result of the request that
// holds the key. It returns the last decision if none comes.
func (s *Service) awaitResult(ctx context.Context, c order.Claim, last order.Decision) order.Decision {
	done := table.Read(s.pending, table.Hold{}, func(p *pending) chan struct{} { return p.addResultWaiter(c.Key) })
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	if latest := s.decideFromLedger(c); latest.Step == order.Replay {
		return latest
	}
	select {
	case <-done:
		return s.decideFromLedger(c)
	case <-ctx.Done():
		return last
	}
}

// Void gives up the claim of a request that has not run and will not be sent
// again, so that the key can be claimed again.
func (s *Service) Void(c order.Claim) {
	s.pending.Do(table.Hold{}, func(_ table.Hold, p *pending) { p.abandoned[c.Serial] = time.Now() })
	s.enqueue(record.Orders{VoidedClaims: []order.Claim{c}})
}

// Finish records the result of a request that has run, wakes those that wait
// for it and queues it for the log.
func (s *Service) Finish(c order.Claim, r order.Result) {
	s.ledger.Do(table.Hold{}, func(_ table.Hold, b *order.Ledger) { b.ApplyResult(c, r) })
	s.wakeWaiters(c.Key)
	s.enqueue(record.Orders{Results: []record.OrderResult{{Claim: c, Result: r}}})
}

func (s *Service) enqueue(entry record.Orders) {
	select {
	case s.queue <- entry:
	default:
		s.log.Error("order_entry_dropped")
	}
}

// ApplyRecord applies a record of the order stream to the ledger, and wakes the
// requests that wait for its claims and keys. Records must come in the order of
// the log; one that was applied before does not change the ledger.
func (s *Service) ApplyRecord(now time.Time, r logservice.Record) {
	entry, err := record.Decode[record.Orders](r.Data)
	if err != nil {
		s.log.Error("order_record_invalid", zap.Uint64("offset", uint64(r.Offset)), logs.Err(err))
	}
	s.ledger.Do(table.Hold{}, func(_ table.Hold, b *order.Ledger) {
		if !b.BeginRecord(r.Offset) {
			return
		}
		for _, c := range entry.Claims {
			b.ApplyClaim(now, c)
		}
		for _, c := range entry.VoidedClaims {
			b.ApplyVoid(c)
		}
		for _, f := range entry.Results {
			b.ApplyResult(f.Claim, f.Result)
		}
		b.Prune(now, order.KeyRetention)
	})
	for _, c := range entry.Claims {
		s.onClaimRead(c)
	}
	for _, f := range entry.Results {
		s.wakeWaiters(f.Claim.Key)
	}
	for _, c := range entry.VoidedClaims {
		s.wakeWaiters(c.Key)
	}
}

// onClaimRead wakes the request that waits for a claim of this process. If the
// request has abandoned the claim, the claim is voided.
func (s *Service) onClaimRead(c order.Claim) {
	if c.Router != s.self || c.Incarnation != s.incarnation {
		return
	}
	if table.Read(s.pending, table.Hold{}, func(p *pending) bool { return p.markRead(time.Now(), c.Serial) }) {
		s.enqueue(record.Orders{VoidedClaims: []order.Claim{c}})
	}
}

func (s *Service) wakeWaiters(key order.Key) {
	s.pending.Do(table.Hold{}, func(_ table.Hold, p *pending) { p.wake(key) })
}

// Len returns the number of keys in the ledger.
func (s *Service) Len() int {
	return table.Read(s.ledger, table.Hold{}, func(b *order.Ledger) int { return b.Len() })
}
