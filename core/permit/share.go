package permit

import (
	"time"

	"camphorpulley.org/core"
)

// Split returns the part of a limit that belongs to one seat, counted from one.
// The parts of all seats add up to limit; offset selects the seats that get one
// unit more when limit is not a multiple of seats.
func Split(limit, seats int, seat core.Seat, offset int) int {
	if seats <= 0 || seat <= 0 || int(seat) > seats {
		return 0
	}
	share := limit / seats
	rank := (int(seat) - 1 + offset) % seats
	if rank < limit%seats {
		share++
	}
	return share
}

// Lease is a number of units leased to a coordinator.
type Lease struct {
	Coordinator core.RouterID
	Incarnation core.Incarnation
	Epoch       uint64
	Units       int
	// ExpiresAt is the earliest time at which the owner may reuse the units. The
	// coordinator stops granting earlier, since it counts from a time before the
	// owner's renewal.
	ExpiresAt time.Time
}

// Share records the leases of the part of one upstream's limit that the router's
// own seat owns. Methods take the size of that part, which changes with the
// limit. The zero value has leased out nothing.
type Share struct {
	Lease   Lease
	Expired []ExpiredLease
	// Offered is the number of units in the last offer of the current lease, and
	// RaisedAt is when that number last grew.
	Offered  int
	RaisedAt time.Time
	// Epoch numbers the leases. It starts at the incarnation of the owner, so that
	// no two leases of a seat have the same epoch.
	Epoch uint64
}

// allUnits is more than any limit. An expired lease of this size blocks the
// whole share.
const allUnits = 1 << 20

// BlockAll blocks the whole share of a process that started at the given time,
// since an earlier process in this seat may have leased it out. The coordinator
// of such a lease stops granting within the lease length; after that, units are
// free once the routers have reported their claims.
func (s *Share) BlockAll(started time.Time, in core.Incarnation, length time.Duration, routers []core.RouterID) {
	s.Epoch = uint64(in)
	s.Expired = append(s.Expired, newExpiredLease(ExpiredLease{BeforeEpoch: s.Epoch, Units: allUnits, ExpiredAt: started.Add(length)}, routers))
}

// Outstanding returns how many units of a share of the given size may still be
// in use on expired leases.
func (s *Share) Outstanding(now time.Time, size int) int {
	sum := 0
	for _, l := range s.Expired {
		sum += l.Outstanding(now)
	}
	return min(sum, size)
}

// Free returns the units of a share of the given size that are neither leased
// out nor possibly in use on expired leases.
func (s *Share) Free(now time.Time, size int) int {
	return max(size-s.Outstanding(now, size)-s.Lease.Units, 0)
}

// CoordinatorID identifies one process of a router as coordinator.
type CoordinatorID struct {
	Router      core.RouterID
	Incarnation core.Incarnation
}

// LeaseOut leases all free units to a coordinator, or renews its lease. Size is
// the current share less the units that the owner's own permits use. Units of an
// expired lease are not leased out again until all routers that were given when it
// expired, in this call or before, have reported their claims, unless RecordLoad or
// FreeOverdue frees them. While another coordinator has a lease that has not
// expired, that lease stays unchanged and the result is empty.
func (s *Share) LeaseOut(now time.Time, to CoordinatorID, size int, length time.Duration, routers []core.RouterID) Lease {
	s.ExpireLease(now, routers)
	if s.Lease.Units > 0 && (s.Lease.Coordinator != to.Router || s.Lease.Incarnation != to.Incarnation) {
		return Lease{}
	}
	if s.Lease.Units == 0 {
		s.Epoch++
		s.Lease = Lease{Coordinator: to.Router, Incarnation: to.Incarnation, Epoch: s.Epoch}
		s.Offered = 0
	}
	s.Lease.ExpiresAt = now.Add(length)
	leased := s.Lease
	leased.Units = max(size-s.Outstanding(now, size), 0)
	// Until the coordinator confirms a smaller number, the larger one counts.
	s.Lease.Units = max(s.Lease.Units, leased.Units)
	if leased.Units > s.Offered {
		s.RaisedAt = now
	}
	s.Offered = leased.Units
	return leased
}

// Confirm lowers the units of the current lease to the number that its
// coordinator has confirmed. MadeAfter is a time on this router's clock after
// which the confirmation was certainly made. One that is not certainly later than
// the last raise of the offered units is ignored, since the coordinator may have
// received the raise after it.
func (s *Share) Confirm(coordinator core.RouterID, epoch uint64, units int, madeAfter time.Time) {
	if s.Lease.Coordinator != coordinator || s.Lease.Epoch != epoch || !madeAfter.After(s.RaisedAt) {
		return
	}
	s.Lease.Units = min(s.Lease.Units, units)
}

// LeaseExpired reports whether the current lease has expired.
func (s *Share) LeaseExpired(now time.Time) bool {
	return s.Lease.Units > 0 && !now.Before(s.Lease.ExpiresAt)
}

// ExpireLease moves the current lease to the expired ones if its time is over.
// Its coordinator holds no permit on units of other seats, so its claims are
// not awaited.
func (s *Share) ExpireLease(now time.Time, routers []core.RouterID) {
	if !s.LeaseExpired(now) {
		return
	}
	others := make([]core.RouterID, 0, len(routers))
	for _, r := range routers {
		if r != s.Lease.Coordinator {
			others = append(others, r)
		}
	}
	s.Expired = append(s.Expired, newExpiredLease(ExpiredLease{Epoch: s.Lease.Epoch, Units: s.Lease.Units, ExpiredAt: s.Lease.ExpiresAt}, others))
	s.removeSettled(now)
	s.Lease = Lease{}
}

// RecordClaims records how many permits on each expired lease a router holds.
// MadeAfter is a time on this router's clock after which the report was
// certainly made.
func (s *Share) RecordClaims(now time.Time, router core.RouterID, madeAfter time.Time, claims []Claim) {
	for i := range s.Expired {
		s.Expired[i].recordClaims(router, madeAfter, claims)
	}
	s.removeSettled(now)
}

// FreeOverdue frees the units of leases that expired more than maxRunTime ago,
// which is the longest that a request may run.
func (s *Share) FreeOverdue(now time.Time, maxRunTime time.Duration) {
	for i := range s.Expired {
		if now.Sub(s.Expired[i].ExpiredAt) > maxRunTime {
			s.Expired[i].Units = 0
		}
	}
	s.removeSettled(now)
}

// RecordLoad lowers the units of expired leases to the number of requests that
// a load report shows as running, since no more can be in use. A lease that
// expired after the report was made stays unchanged.
func (s *Share) RecordLoad(now, madeAt time.Time, running int) {
	for i := range s.Expired {
		if madeAt.Before(s.Expired[i].ExpiredAt) {
			continue
		}
		s.Expired[i].Units = min(s.Expired[i].Units, running)
	}
	s.removeSettled(now)
}

// AwaitsClaims reports whether a router has to report its claims before units
// become free.
func (s *Share) AwaitsClaims(router core.RouterID) bool {
	for _, l := range s.Expired {
		if l.Awaiting[router] {
			return true
		}
	}
	return false
}

// removeSettled removes the expired leases of which no unit is in use. None comes
// into use later, since no permit is granted on an expired lease.
func (s *Share) removeSettled(now time.Time) {
	kept := s.Expired[:0]
	for _, l := range s.Expired {
		if l.Outstanding(now) > 0 {
			kept = append(kept, l)
		}
	}
	s.Expired = kept
}

// EarlierLeasesUnknown reports whether it is still unknown what earlier
// processes in this seat have leased out.
func (s *Share) EarlierLeasesUnknown(now time.Time) bool {
	for _, l := range s.Expired {
		if l.Outstanding(now) >= allUnits {
			return true
		}
	}
	return false
}
