package relay

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core/fleet"
)

// awaitGrant waits for what the request has to ask another router for before its next attempt.
func (s *callState) awaitGrant(target fleet.Target) {
	if target.SlotAsk != nil {
		s.awaitSlot(*target.SlotAsk)
		return
	}
	s.awaitQuota(target)
}

// awaitSlot asks for a slot and waits for the decision: at most for fleet.SlotTimeout until the
// first answer and as long as a dispatcher has said that it queues the request, and no longer than
// until the deadline or until the caller disconnects.
func (s *callState) awaitSlot(ask fleet.SlotAsk) {
	f := s.forwarder
	s.Asks++
	s.settleSlot(fleet.Target{})
	s.Slot = fleet.SlotAnswer{Silent: true}
	if f.ApplySlots == nil {
		return
	}
	started := time.Now()
	answers, closeInbox := f.slotAnswers.open(ask.Request.Number, maxSlotAnswers)
	f.ApplySlots(f.Fleet.AskSlot(started, ask))
	answer, ok := s.nextAnswer(answers, fleet.SlotTimeout)
	queued := ok && answer.Queued()
	for ok && answer.Queued() {
		// The dispatcher decides by then; its message may be late.
		answer, ok = s.nextAnswer(answers, time.Duration(answer.WaitMS)*time.Millisecond+fleet.SlotTimeout)
	}
	closeInbox()
	if ok {
		s.Slot = answer
	} else {
		s.giveUpSlot(ask, answers)
	}
	f.Metrics.Slot(s.Pool.Name, slotOutcome(s.Slot, s.ctx.Err() != nil), queued, time.Since(started))
}

// maxSlotAnswers is the number of answers to one question: that it is queued, and what was decided.
const maxSlotAnswers = 2

// nextAnswer returns the next answer; false if none comes in time.
func (s *callState) nextAnswer(answers <-chan fleet.SlotAnswer, wait time.Duration) (fleet.SlotAnswer, bool) {
	timeout := time.NewTimer(min(wait, time.Until(s.Deadline)))
	defer timeout.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-s.ctx.Done():
	case <-timeout.C:
	}
	return fleet.SlotAnswer{}, false
}

// giveUpSlot ends the wait for a slot. An answer may have come in the same moment.
func (s *callState) giveUpSlot(ask fleet.SlotAsk, answers <-chan fleet.SlotAnswer) {
	f := s.forwarder
	now := time.Now()
	switch {
	case s.ctx.Err() != nil:
		f.Fleet.WithdrawSlot(ask)
	case !now.Before(s.Deadline):
		// It is refused: an attempt would begin when the caller has given up.
		f.Fleet.WithdrawSlot(ask)
		s.Slot = fleet.SlotAnswer{From: ask.To, SlotGrant: fleet.SlotGrant{Pool: ask.Request.Pool, Number: ask.Request.Number, RetryMS: f.Fleet.RetryAfter().Milliseconds()}}
	default:
		f.Fleet.RecordSlotSilence(now, ask)
		f.Log.Info("slot_silence", zap.String("request", s.ID), zap.String("pool", string(s.Pool.Name)), zap.String("dispatcher", string(ask.To)))
	}
	select {
	case answer := <-answers:
		if answer.Granted() {
			f.Fleet.ReturnGrant(answer)
		}
	default:
	}
	f.slotsEnded()
}

// slotOutcome returns the name of what has become of a question for a slot, for metrics.
func slotOutcome(a fleet.SlotAnswer, left bool) string {
	switch {
	case left:
		return "caller_left"
	case a.Granted():
		return "granted"
	case a.Silent:
		return "silent"
	case a.Alone:
		return "alone"
	}
	return "refused"
}

// settleSlot forgets the answer that a choice has used, and returns the slot if it wasn't used.
func (s *callState) settleSlot(target fleet.Target) {
	if s.Slot.Granted() && target.Slot.Number == 0 {
		s.forwarder.Log.Info("slot_unused", zap.String("request", s.ID), zap.String("pool", string(s.Pool.Name)), zap.String("upstream", string(s.Slot.Upstream)),
			zap.String("dispatcher", string(s.Slot.From)))
		s.forwarder.slotsEnded()
	}
	s.Slot = fleet.SlotAnswer{}
}

// releaseSlot returns a slot that the request was granted for an attempt that isn't made.
func (s *callState) releaseSlot() {
	if s.Slot.Granted() {
		s.forwarder.Fleet.ReturnGrant(s.Slot)
		s.forwarder.slotsEnded()
	}
}

// slotsEnded tells that slots have ended, which are returned to their dispatchers.
func (f *Forwarder) slotsEnded() {
	if f.SlotsEnded != nil {
		f.SlotsEnded()
	}
}

// SlotAnswered passes an answer to the request that waits for it. A slot that is granted too late
// is returned.
func (f *Forwarder) SlotAnswered(a fleet.SlotAnswer) {
	if !f.slotAnswers.deliver(a.Number, a) && a.Granted() {
		f.Fleet.ReturnGrant(a)
		f.slotsEnded()
	}
}
