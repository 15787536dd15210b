package fleet

import (
	"time"

	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/table"
)

// FinishAttempt records the outcome of an attempt and ends its count towards the
// upstream's load. Report is the load in the upstream's response; nil if there was
// none. A time-out counts as health.Slow if the upstream has sent something since it
// was chosen. FinishAttempt reports whether the outcome has ejected the upstream.
func (f *Fleet) FinishAttempt(now time.Time, t Target, o health.Outcome, report *load.Report) bool {
	var ejected bool
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(t.ID)
		s.reachability = st.reach(t.DataCentre)
		if o == health.TimedOut && s.lastSeen.After(t.ChosenAt) {
			o = health.Slow
		}
		s.load.Local = max(s.load.Local-1, 0)
		if report != nil {
			s.load.ApplyReport(now, *report)
		}
		if o == health.Good {
			st.runTime(t.Pool).Record(now.Sub(t.ChosenAt))
			s.lastSuccess = now
			s.markSeen(now)
			s.successes++
			s.ejectedLocally = false
		}
		if o == health.Failed {
			s.failures++
		}
		if ejected = s.health.Observe(now, o); ejected {
			s.ejectedLocally = true
		}
		switch o {
		case health.Unreachable:
			s.raiseDoubt(now, t.Upstream)
		case health.Broken:
			s.recordBroken(now, t.Upstream)
		}
		if o.ContactFailure() {
			s.reachability.RecordFailure(now, t.ID)
		}
	})
	f.recordSample(now, t, o)
	f.returnSlot(t.Slot, slotOutcome(o), now.Sub(t.ChosenAt))
	return ejected
}

// MarkSeen records that the upstream has sent something.
func (f *Fleet) MarkSeen(now time.Time, t Target) {
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) { st.get(t.ID).markSeen(now) })
}
