// Package table holds the shared tables and the order of their locks.
package table

import "fmt"

// Rank is the place of a lock in the lock order. A goroutine that holds a lock
// may only take locks of a higher rank.
type Rank int

// The lock order, lowest first. This list is the only place that states it.
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

// Hold is the evidence of the highest lock that the caller holds. The zero
// value holds none.
type Hold struct {
	Rank Rank
}

// OrderError reports a lock taken against the lock order.
type OrderError struct {
	Held Rank
	Want Rank
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("lock of rank %d wanted while rank %d is held", e.Want, e.Held)
}

// Check returns an OrderError if a lock of rank want may not be taken.
func (h Hold) Check(want Rank) error {
	if want <= h.Rank {
		return &OrderError{Held: h.Rank, Want: want}
	}
	return nil
}
