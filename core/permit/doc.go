// Package permit keeps the number of requests at an upstream within its limit
// while routers disagree about who is alive.
//
// Each seat of the upstream's data centre owns a share of the limit, counted
// in units. An owner lends its free units, under a lease, to one keeper, which
// grants permits for single requests out of all that it was lent. Two keepers
// never hold the same unit, so the bound does not depend on who is believed
// to be the keeper.
package permit

import "time"

// Lease is the timing of a loan.
type Lease struct {
	// Length is how long an owner leaves lent units alone after it last
	// renewed the loan.
	Length time.Duration
}

// DefaultLease is the length of the zero Lease.
const DefaultLease = 5 * time.Second

// Whole returns the length, or the default.
func (l Lease) Whole() time.Duration {
	if l.Length <= 0 {
		return DefaultLease
	}
	return l.Length
}

// Grant is the part in which the keeper grants, counted from the stamp that
// the owner answered.
func (l Lease) Grant() time.Duration { return l.Whole() * 5 / 8 }

// Use is the part in which a granted permit is used, counted from the holder's
// last stamp that the keeper had seen. What is left of the lease covers the
// drift of two clocks.
func (l Lease) Use() time.Duration { return l.Whole() / 4 }

// Beat is the interval of heartbeats, which renew loans. One may be lost
// without a pause in grants.
func (l Lease) Beat() time.Duration { return l.Whole() / 5 }

// Silence is the time without a heartbeat after which a router is no longer
// chosen as keeper.
func (l Lease) Silence() time.Duration { return l.Whole() / 2 }
