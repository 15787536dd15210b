package permit

import (
	"time"

	"camphorpulley.org/core"
)

// ExpiredLease is a lease whose time is over while permits on it may still be in
// use.
type ExpiredLease struct {
	// Epoch is the epoch of the lease; zero stands for every lease with an epoch
	// below BeforeEpoch.
	Epoch       uint64
	BeforeEpoch uint64
	Units       int
	// ExpiredAt is when the coordinator had certainly stopped granting on the
	// lease.
	ExpiredAt time.Time
	// Claims is the number of permits on the lease that each router has reported
	// since it expired.
	Claims map[core.RouterID]int
	// Awaiting holds the routers that have not reported since the lease expired.
	Awaiting map[core.RouterID]bool
}

func newExpiredLease(l ExpiredLease, routers []core.RouterID) ExpiredLease {
	l.Claims = map[core.RouterID]int{}
	l.Awaiting = map[core.RouterID]bool{}
	for _, r := range routers {
		l.Awaiting[r] = true
	}
	return l
}

// Outstanding returns how many units of the lease may still be in use.
func (l ExpiredLease) Outstanding(now time.Time) int {
	if len(l.Awaiting) > 0 || now.Before(l.ExpiredAt) {
		return l.Units
	}
	sum := 0
	for _, n := range l.Claims {
		sum += n
	}
	return min(sum, l.Units)
}

// covers reports whether permits with the given epoch are on the lease.
func (l ExpiredLease) covers(epoch uint64) bool {
	if l.Epoch == 0 {
		return epoch < l.BeforeEpoch
	}
	return epoch == l.Epoch
}

func (l ExpiredLease) recordClaims(router core.RouterID, madeAfter time.Time, claims []Claim) {
	if madeAfter.Before(l.ExpiredAt) {
		return
	}
	sum := 0
	for _, c := range claims {
		if l.covers(c.Epoch) {
			sum += c.Count
		}
	}
	delete(l.Awaiting, router)
	l.Claims[router] = sum
}
