package main

import (
	"time"

	"camphorpulley.org/core/fleet"
)

// askSlot asks for a slot, and tries the request again once it is decided on, or if no answer has
// come in time.
func (sim *simulation) askSlot(now time.Time, r *request) {
	ask, epoch := *r.target.SlotAsk, r.router.epoch
	sim.returnSlots(now, r.router)
	r.Asks++
	r.Slot = fleet.SlotAnswer{Silent: true}
	answers := 0
	wait := func(now time.Time, d time.Duration) {
		answers++
		awaited := answers
		sim.events.add(now.Add(d), func(at time.Time) {
			if answers != awaited || r.router.epoch != epoch {
				return
			}
			delete(r.router.asking, ask.Request.Number)
			sim.figures.silent++
			r.router.fleet.RecordSlotSilence(at, ask)
			sim.returnSlots(at, r.router)
			sim.try(at, r)
		})
	}
	r.router.asking[ask.Request.Number] = func(at time.Time, a fleet.SlotAnswer) {
		if a.Queued() {
			wait(at, time.Duration(a.WaitMS)*time.Millisecond+fleet.SlotTimeout)
			return
		}
		answers++
		delete(r.router.asking, ask.Request.Number)
		r.Slot = a
		sim.try(at, r)
	}
	wait(now, fleet.SlotTimeout)
	sim.applySlots(now, r.router, r.router.fleet.AskSlot(now, ask))
}

// applySlots sends the messages and delivers the answers that follow from what a router did.
func (sim *simulation) applySlots(now time.Time, r *router, e fleet.Effects) {
	for _, envelope := range e.Forward {
		sim.post(r, envelope.To, envelope.Message)
	}
	if e.SlotsWaiting {
		sim.expireSlots(now, r)
	}
	for _, a := range e.SlotAnswers {
		if answer := r.asking[a.Number]; answer != nil {
			answer(now, a)
		} else if a.Granted() {
			r.fleet.ReturnGrant(a)
			sim.returnSlots(now, r)
		}
	}
}

// returnSlots lets a router return the slots that end now and shortly after.
func (sim *simulation) returnSlots(now time.Time, r *router) {
	if r.returning {
		return
	}
	epoch := r.epoch
	r.returning = true
	sim.events.add(now.Add(fleet.SlotReturnDelay), func(at time.Time) {
		if r.epoch == epoch {
			r.returning = false
			sim.applySlots(at, r, r.fleet.TakeSlotReturns(at))
		}
	})
}

// slotExpiryInterval is the time between two checks of the slots that a router grants.
const slotExpiryInterval = 10 * time.Millisecond

// expireSlots lets a router end the waits for slots that it grants while there are some.
func (sim *simulation) expireSlots(now time.Time, r *router) {
	if r.expiring {
		return
	}
	epoch := r.epoch
	r.expiring = true
	sim.events.add(now.Add(slotExpiryInterval), func(at time.Time) {
		if r.epoch != epoch {
			return
		}
		r.expiring = false
		effects, waiting := r.fleet.ExpireSlots(at)
		sim.applySlots(at, r, effects)
		if waiting > 0 {
			sim.expireSlots(at, r)
		}
	})
}
