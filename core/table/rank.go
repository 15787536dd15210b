// Package table provides mutex-protected tables whose locks must be taken in a
// fixed order, which prevents deadlocks.
package table

import "fmt"

// Rank is the position of a lock in the lock order. A goroutine that holds a lock
// may only take locks of a higher rank.
type Rank int

// The lock order, lowest rank first. It is defined only here.
const (
	RankNone Rank = iota
	RankConfig
	RankInstances
	RankFeeds
	RankUpstreams
	RankPermits
	RankHoldings
	RankLoads
	RankParts
	RankOrders
	RankSuspects
	RankBudgets
	RankBurn
	RankPolicies
	RankSnapshots
	RankClaims
	RankWaiters
	RankClients
	RankLinks
)

// Hold states the highest rank of the locks that the caller holds. It is passed
// down to Cell.Do, which checks it. The zero value means that no lock is held.
type Hold struct {
	Rank Rank
}

// OrderError reports a violation of the lock order.
type OrderError struct {
	Held Rank
	Want Rank
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("lock of rank %d must not be taken while a lock of rank %d is held", e.Want, e.Held)
}

// Check returns an OrderError if the holder may not take a lock of rank want.
func (h Hold) Check(want Rank) error {
	if want <= h.Rank {
		return &OrderError{Held: h.Rank, Want: want}
	}
	return nil
}
