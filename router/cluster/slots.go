package cluster

import (
	"context"
	"time"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core/fleet"
)

// slotSignals tell the jobs that return and grant slots that there is work.
type slotSignals struct {
	// ended is notified when slots have ended, waiting when requests wait for slots that this
	// router grants.
	ended, waiting signal
}

// slotExpiryInterval is the time between two checks of the slots that this router grants, while
// requests wait for some.
const slotExpiryInterval = 10 * time.Millisecond

// startSlots starts the jobs that return slots and that end the waits for those which this router
// grants. They do nothing while no pool has a dispatcher.
func (r *Router) startSlots(ctx context.Context) {
	r.scheduler.Repeat(ctx, func(ctx context.Context) {
		if !r.slots.ended.wait(ctx) {
			return
		}
		worker.Sleep(ctx, fleet.SlotReturnDelay)
		r.applySlots(r.fleet.TakeSlotReturns(time.Now()))
	})
	r.scheduler.Repeat(ctx, func(ctx context.Context) {
		if !r.slots.waiting.wait(ctx) {
			return
		}
		for ctx.Err() == nil {
			worker.Sleep(ctx, slotExpiryInterval)
			effects, waiting := r.fleet.ExpireSlots(time.Now())
			r.applySlots(effects)
			if waiting == 0 {
				return
			}
		}
	})
}

// applySlots passes on the answers to this router's requests for slots, and sends those to others.
func (r *Router) applySlots(e fleet.Effects) {
	for _, a := range e.SlotAnswers {
		r.gateway.Forwarder.SlotAnswered(a)
	}
	if e.SlotsWaiting {
		r.slots.waiting.notify()
	}
	r.send(e.Forward)
}
