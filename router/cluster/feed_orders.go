package cluster

import (
	"time"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
)

// applyOrders applies the orders of a read of all records. An older copy of the store may lack
// the newest ones, or hold earlier ones, until they are written again.
func (f *feedReader) applyOrders(now time.Time, page Page) {
	if f.feed != OperatorFeed || !f.confirmAt.IsZero() {
		return
	}
	var orders []rollout.Order
	for _, e := range page.Events {
		if e.Order != nil {
			orders = append(orders, *e.Order)
		}
	}
	for _, c := range f.fleet.ApplyOrders(now, orders, page.Next, page.Era) {
		logRolloutChange(f.log, "", c)
	}
}

// applyFreshOrder applies the order of a record that was read as it was written.
func (f *feedReader) applyFreshOrder(now time.Time, e Event) {
	var c *fleet.RolloutChange
	switch {
	case e.WithdrawnOrder != nil:
		c = f.fleet.WithdrawOrder(now, *e.WithdrawnOrder)
	case f.failedCalls > 0:
		c = f.fleet.ApplyLateOrder(now, f.readAt, *e.Order)
	default:
		c = f.fleet.ApplyOrder(now, *e.Order, true)
	}
	if c != nil {
		logRolloutChange(f.log, "", *c)
	}
}
