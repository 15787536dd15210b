package permit

import (
	"time"

	"camphorpulley.org/core"
)

// Split returns the share of one seat, counted from one, so that the shares of
// all seats add up to limit. The offset turns the remainder from seat to seat.
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

// Loan is a number of units lent to a keeper.
type Loan struct {
	Keeper      core.RouterID
	Incarnation core.Incarnation
	Epoch       uint64
	Amount      int
	// Until is when the owner may take the units back. The keeper stops
	// earlier, since it counts from a time before the owner's.
	Until time.Time
}

// Share is the part of one upstream's limit that the own seat owns. The zero
// value owns nothing and has lent nothing.
type Share struct {
	Loan  Loan
	Debts []Debt
	// Epoch counts loans. It starts at the incarnation of the owner, so that
	// no two loans of a seat have the same one.
	Epoch uint64
}

// everything stands for a share of which no part is known to be free.
const everything = 1 << 20

// Begin blocks the whole share of a process that started at a time: an earlier
// process in this seat may have lent it. The keeper of such a loan stops
// within a lease.
func (s *Share) Begin(started time.Time, in core.Incarnation, lease time.Duration, routers []core.RouterID) {
	s.Epoch = uint64(in)
	s.Debts = append(s.Debts, newDebt(Debt{Before: s.Epoch, Amount: everything, Lapsed: started.Add(lease)}, routers))
}

// Owed returns how many units of a share of the given size may be in use on
// lapsed loans.
func (s *Share) Owed(now time.Time, size int) int {
	sum := 0
	for _, d := range s.Debts {
		sum += d.Owed(now)
	}
	return min(sum, size)
}

// Free returns the units of a share of the given size that are neither lent
// nor owed.
func (s *Share) Free(now time.Time, size int) int {
	return max(size-s.Owed(now, size)-s.Loan.Amount, 0)
}

// Borrower is the keeper to which a share is lent.
type Borrower struct {
	Keeper      core.RouterID
	Incarnation core.Incarnation
}

// Lend renews or makes the loan of all free units. Size is the share at
// present less the units that the owner's own permits use. The routers must
// speak before the units of a lapsed loan are lent again. A loan to another
// keeper that has not lapsed stays as it is, and the result is empty.
func (s *Share) Lend(now time.Time, to Borrower, size int, lease time.Duration, routers []core.RouterID) Loan {
	s.Lapse(now, routers)
	if s.Loan.Amount > 0 && (s.Loan.Keeper != to.Keeper || s.Loan.Incarnation != to.Incarnation) {
		return Loan{}
	}
	if s.Loan.Amount == 0 {
		s.Epoch++
		s.Loan = Loan{Keeper: to.Keeper, Incarnation: to.Incarnation, Epoch: s.Epoch}
	}
	s.Loan.Until = now.Add(lease)
	lent := s.Loan
	lent.Amount = max(size-s.Owed(now, size), 0)
	// Until the keeper confirms a smaller amount, the larger one counts.
	s.Loan.Amount = max(s.Loan.Amount, lent.Amount)
	return lent
}

// Acknowledge lowers a loan to the amount that its keeper has confirmed.
func (s *Share) Acknowledge(keeper core.RouterID, epoch uint64, amount int) {
	if s.Loan.Keeper == keeper && s.Loan.Epoch == epoch {
		s.Loan.Amount = min(s.Loan.Amount, amount)
	}
}

// Due reports whether the time of a loan is over.
func (s *Share) Due(now time.Time) bool {
	return s.Loan.Amount > 0 && !now.Before(s.Loan.Until)
}

// Lapse turns a loan whose time is over into a debt. The keeper itself holds
// no permit on units that are not its own, so it need not speak.
func (s *Share) Lapse(now time.Time, routers []core.RouterID) {
	if !s.Due(now) {
		return
	}
	others := make([]core.RouterID, 0, len(routers))
	for _, r := range routers {
		if r != s.Loan.Keeper {
			others = append(others, r)
		}
	}
	s.Debts = append(s.Debts, newDebt(Debt{Epoch: s.Loan.Epoch, Amount: s.Loan.Amount, Lapsed: s.Loan.Until}, others))
	s.settle(now)
	s.Loan = Loan{}
}

// Speak records how many permits on each lapsed loan a router holds. Said is
// a time on this router's clock after which the statement was certainly made.
func (s *Share) Speak(now time.Time, router core.RouterID, said time.Time, held []Claim) {
	for i := range s.Debts {
		s.Debts[i].speak(router, said, held)
	}
	s.settle(now)
}

// Expire forgives debts after the longest permitted request has passed.
func (s *Share) Expire(now time.Time, longest time.Duration) {
	for i := range s.Debts {
		if now.Sub(s.Debts[i].Lapsed) > longest {
			s.Debts[i].Amount = 0
		}
	}
	s.settle(now)
}

// Report lowers debts to what a load report shows: no more can be in use than
// requests were running. Made is when the report was taken.
func (s *Share) Report(now, made time.Time, running int) {
	for i := range s.Debts {
		if made.Before(s.Debts[i].Lapsed) {
			continue
		}
		s.Debts[i].Amount = min(s.Debts[i].Amount, running)
	}
	s.settle(now)
}

// Awaits reports whether a router has to speak before units are free.
func (s *Share) Awaits(router core.RouterID) bool {
	for _, d := range s.Debts {
		if d.Silent[router] {
			return true
		}
	}
	return false
}

// settle drops the debts that are paid. A debt is paid for good, since no new
// permit can be granted on a lapsed loan.
func (s *Share) settle(now time.Time) {
	kept := s.Debts[:0]
	for _, d := range s.Debts {
		if d.Owed(now) > 0 {
			kept = append(kept, d)
		}
	}
	s.Debts = kept
}

// Starting reports whether nothing is known yet of what earlier processes in
// this seat have lent.
func (s *Share) Starting(now time.Time) bool {
	for _, d := range s.Debts {
		if d.Owed(now) >= everything {
			return true
		}
	}
	return false
}
