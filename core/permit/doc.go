// Package permit keeps the number of requests running at an upstream within
// its limit while routers disagree about which of them are alive.
//
// Each seat of the upstream's data centre owns a share of the limit, counted
// in units. An owner leases its free units to one coordinator at a time, which
// grants permits for single requests from all units leased to it. No unit is
// ever leased to two coordinators at a time, so the limit holds whichever router
// is believed to be the coordinator.
package permit

import "time"

// LeaseTiming holds the length of a lease and derives the other durations of
// the protocol from it.
type LeaseTiming struct {
	// Length is the time after the last renewal for which an owner does not
	// reuse leased units; zero selects DefaultLeaseLength.
	Length time.Duration
}

// DefaultLeaseLength applies where no length is set.
const DefaultLeaseLength = 5 * time.Second

// Duration returns Length, or DefaultLeaseLength if it is not positive.
func (l LeaseTiming) Duration() time.Duration {
	if l.Length <= 0 {
		return DefaultLeaseLength
	}
	return l.Length
}

// GrantWindow is how long a coordinator grants permits on a lease, counted
// from the coordinator's stamp that the owner echoed with the lease.
func (l LeaseTiming) GrantWindow() time.Duration { return l.Duration() * 5 / 8 }

// UseWindow is how long a request may be started on a permit, counted from the
// holder's last stamp that the coordinator had received at the grant. What this and
// GrantWindow leave of the lease covers the drift between the clocks of the owner,
// the coordinator and the holder.
func (l LeaseTiming) UseWindow() time.Duration { return l.Duration() / 4 }

// HeartbeatInterval is the interval of heartbeats, which renew leases. One of
// them may be lost without interrupting grants.
func (l LeaseTiming) HeartbeatInterval() time.Duration { return l.Duration() / 5 }

// FailureTimeout is the time without a heartbeat after which a router is no
// longer eligible as coordinator.
func (l LeaseTiming) FailureTimeout() time.Duration { return l.Duration() / 2 }
