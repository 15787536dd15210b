package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/dispatch"
	"camphorpulley.org/core/table"
)

// returnSlots applies the slots that a router returns.
func (f *Fleet) returnSlots(now time.Time, from core.RouterID, all []SlotReturn) Effects {
	var e Effects
	for _, r := range all[:min(len(all), maxPendingReturns)] {
		decisions := table.Read(f.slots, table.Hold{}, func(t *slots) []dispatch.Decision {
			s := t.pools[r.Pool]
			if s == nil {
				return nil
			}
			ran := time.Duration(min(max(r.RanUS, 0), maxSlotWaitMS*1000)) * time.Microsecond
			return s.dispatcher.Return(now, dispatch.Key{Router: from, Number: r.Number}, dispatch.Outcome(r.Outcome), ran)
		})
		e.add(f.decisionEffects(now, r.Pool, decisions))
	}
	return e
}

// TakeSlotReturns returns the slots that have ended to their dispatchers.
func (f *Fleet) TakeSlotReturns(now time.Time) Effects {
	returns := table.Read(f.slots, table.Hold{}, func(t *slots) map[core.RouterID][]SlotReturn {
		all := t.returns
		t.returns = nil
		return all
	})
	var e Effects
	for to, all := range returns {
		if to == f.settings.ID {
			e.add(f.returnSlots(now, to, all))
			continue
		}
		e.Forward = append(e.Forward, Envelope{To: to, Message: Message{SentMS: f.uptimeMS(now), SlotReturns: all}})
	}
	return e
}

// ExpireSlots ends the leases of slots that are over, and the vain waits for slots. Waiting is the
// number of requests that still wait for one that this router grants.
func (f *Fleet) ExpireSlots(now time.Time) (e Effects, waiting int) {
	decisions := map[core.Pool][]dispatch.Decision{}
	f.slots.Do(table.Hold{}, func(_ table.Hold, t *slots) {
		for p, s := range t.pools {
			decisions[p] = s.dispatcher.Expire(now)
			waiting += s.dispatcher.Waiting()
		}
	})
	for p, all := range decisions {
		e.add(f.decisionEffects(now, p, all))
	}
	return e, waiting
}

// SlotStatus returns the state of the slots that this router has granted of late.
func (f *Fleet) SlotStatus(now time.Time) dispatch.Status {
	return table.Read(f.slots, table.Hold{}, func(t *slots) dispatch.Status {
		var sum dispatch.Status
		for _, s := range t.pools {
			if now.Sub(s.askedAt) <= takeoverGap {
				one := s.dispatcher.Status()
				sum.Slots, sum.Taken, sum.Waiting = sum.Slots+one.Slots, sum.Taken+one.Taken, sum.Waiting+one.Waiting
			}
		}
		return sum
	})
}
