package permit

import (
	"time"

	"camphorpulley.org/core"
)

// Debt is a loan that lapsed while permits on it may still be in use.
type Debt struct {
	// Epoch of the loan; zero stands for every loan below Before.
	Epoch  uint64
	Before uint64
	Amount int
	// Lapsed is when the keeper of the loan had certainly stopped granting.
	Lapsed time.Time
	// Claims are the permits on the debt that routers hold, as each has said
	// since the lapse.
	Claims map[core.RouterID]int
	// Silent are the routers that have not spoken since the lapse.
	Silent map[core.RouterID]bool
}

func newDebt(d Debt, routers []core.RouterID) Debt {
	d.Claims = map[core.RouterID]int{}
	d.Silent = map[core.RouterID]bool{}
	for _, r := range routers {
		d.Silent[r] = true
	}
	return d
}

// Owed returns how many units of the debt may be in use.
func (d Debt) Owed(now time.Time) int {
	if len(d.Silent) > 0 || now.Before(d.Lapsed) {
		return d.Amount
	}
	sum := 0
	for _, n := range d.Claims {
		sum += n
	}
	return min(sum, d.Amount)
}

func (d Debt) covers(epoch uint64) bool {
	if d.Epoch == 0 {
		return epoch < d.Before
	}
	return epoch == d.Epoch
}

func (d Debt) speak(router core.RouterID, said time.Time, held []Claim) {
	if said.Before(d.Lapsed) {
		return
	}
	sum := 0
	for _, c := range held {
		if d.covers(c.Epoch) {
			sum += c.Count
		}
	}
	delete(d.Silent, router)
	d.Claims[router] = sum
}
