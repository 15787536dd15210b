// Package table provides cells, which protect values with mutexes that must be locked
// in a fixed order, so that no deadlock occurs.
package table

import "fmt"

// Rank is the position of a lock in the lock order. A goroutine that holds a lock
// may only take locks of a higher rank.
type Rank int

// The lock order, lowest rank first. It is defined only here.
const (
	RankNone       Rank = iota // not checked
	RankConfig                 // the sheet or the catalog
	RankInstances              // the other routers
	RankFeeds                  // the position in the discovery feed
	RankUpstreams              // the upstreams
	RankRollouts               // the orders of roll-outs
	RankTrials                 // the samples of a roll-out
	RankPermits                // the permits of upstreams
	RankHoldings               // the permits that the router's requests hold or ask for
	RankLoads                  // the load and health of upstreams
	RankParts                  // the cached parts of prompts
	RankOrders                 // the ledger of orders
	RankSuspects               // the suspected poison requests
	RankLineage                // where streams began
	RankMixedPools             // the records of mixed pools in the store
	RankDigests                // what a relay has gathered for its next digests
	RankBudgets                // the retry budgets
	RankSlots                  // the slots that a dispatcher grants
	RankBurn                   // the counts for burn rates
	RankPolicies               // the state of chat policies
	RankSnapshots              // when a snapshot was last seen in the log
	RankClaims                 // the router's claims that wait for the log
	RankWaiters                // the reply channels of permit requests
	RankClients                // the HTTP clients of upstreams
	RankLinks                  // the connections to other routers
	RankMemory                 // the memory held for callers, and their connections
)

// Hold states the highest rank of the locks that the caller holds. It is passed
// down to Cell.Do, which checks it. The zero value means that no lock is held. Locks
// of RankNone are not recorded: the Hold inside one is zero.
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
