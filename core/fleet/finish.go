package fleet

import (
	"time"

	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/table"
)

// Finish takes in how an attempt ended. Report is nil if the upstream said
// nothing of its load. It reports whether a rest has begun.
func (f *Fleet) Finish(now time.Time, t Target, o health.Outcome, report *load.Report) bool {
	var rest bool
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) {
		s := l.of(t.ID)
		s.centre = l.centre(t.DataCentre)
		if o == health.Silent && s.alive.After(t.Chosen) {
			o = health.Slow
		}
		s.load.Own = max(s.load.Own-1, 0)
		if report != nil {
			s.load.Report(now, *report)
		}
		if o == health.Good {
			s.good = now
			s.seen(now)
			s.fine++
			s.rested = false
		}
		if o == health.Failed {
			s.bad++
		}
		if rest = s.health.Note(now, o); rest {
			s.rested = true
		}
		if o.Loss() {
			s.centre.Lost(now, t.ID)
		}
	})
	return rest
}

// Alive takes in that something has come from an upstream.
func (f *Fleet) Alive(now time.Time, t Target) {
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) { l.of(t.ID).seen(now) })
}

// Loaded takes in what an upstream said of its load while it runs an attempt.
func (f *Fleet) Loaded(now time.Time, t Target, report load.Report) {
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) { l.of(t.ID).load.Report(now, report) })
}
