package ratelimit

import "time"

// Steps numbers steps of equal width by the steady clock: a jump of the time of day neither
// skips steps nor repeats them. The zero value begins with the first time that it is given.
type Steps struct {
	// Origin is when step 0 begins.
	Origin time.Time
}

// At returns the number of the step of a time. Steps before Origin are negative. All calls
// must give the same width.
func (s *Steps) At(t time.Time, width time.Duration) int64 {
	if s.Origin.IsZero() {
		s.Origin = t
	}
	// Sub goes by the monotonic readings of both times.
	since := t.Sub(s.Origin)
	step := int64(since / width)
	if since < 0 && since%width != 0 {
		step--
	}
	return step
}
