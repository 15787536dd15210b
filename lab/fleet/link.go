package main

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/wire"
)

// link is one direction of a router's link, which carries one transfer after another. The
// zero value is idle.
type link struct{ freeAt time.Time }

// transfer returns when a number of bytes that are ready at a time have passed, at a rate in
// megabits per second; at once if the rate is zero.
func (l *link) transfer(now time.Time, bytes int, megabits float64) time.Time {
	if megabits <= 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / megabits * float64(time.Microsecond)))
	return l.freeAt
}

// delay returns the one-way delay between two data centres.
func (sim *simulation) delay(a, b core.DataCentre) time.Duration {
	if a == b {
		return sim.scenario.Fleet.Local
	}
	return sim.scenario.Fleet.Remote
}

// post encodes a message, counts its bytes and delivers it after the links' delays.
func (sim *simulation) post(from *router, to core.RouterID, m fleet.Message) {
	target := sim.byID[to]
	data, err := wire.EncodeFleetMessage(m)
	if target == nil || err != nil {
		return
	}
	if sim.measuring() {
		from.handled++
		from.sent += len(data)
		sim.figures.countMessage(m.Kind(), len(data), from.member.DataCentre == target.member.DataCentre)
	}
	sender, sentAt, epoch := from.member, sim.now, target.epoch
	bits := sim.scenario.Fleet.Link
	arrives := from.out.transfer(sim.now, len(data), bits).Add(sim.delay(from.member.DataCentre, target.member.DataCentre))
	sim.events.add(arrives, func(now time.Time) {
		sim.events.add(target.in.transfer(now, len(data), bits).Add(target.lag), func(now time.Time) {
			if target.stopped || target.epoch != epoch || from.cut != target.cut {
				return
			}
			if sim.measuring() {
				target.handled++
				sim.figures.delay = max(sim.figures.delay, now.Sub(sentAt))
			}
			sim.receive(now, target, sender, data)
		})
	})
}

// receive lets a router apply a message, and sends its replies.
func (sim *simulation) receive(now time.Time, target *router, sender fleet.Member, data []byte) {
	received, err := wire.DecodeFleetMessage(data)
	if err != nil {
		return
	}
	effects := target.fleet.Receive(now, sender, received)
	if effects.QuotaFor != "" {
		target.wakeWaiting(now, effects.QuotaFor)
	}
	if effects.Version > 0 {
		sim.recordApplied(now, effects.Version)
	}
	for i := range effects.RolloutChanges {
		sim.noteStage(&effects.RolloutChanges[i])
	}
	if effects.Reply != nil {
		sim.post(target, sender.ID, *effects.Reply)
	}
	sim.applySlots(now, target, effects)
}
