package statement

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func named(perSecond float64) Answer { return Answer{Limit: NewLimit(perSecond)} }

// TestRampBeginsOnce guards against more requests than a limit permits from a router that
// hears of the limit itself long after others: it came into force when the first of them did.
func TestRampBeginsOnce(t *testing.T) {
	const ramp = 2 * time.Second
	var first, late Statement
	first.Hear(start, 1, named(4))
	if got := first.Rate(start, ramp); got != 12 {
		t.Errorf("rate at first: got %g, want 12", got)
	}
	if got := first.Rate(start.Add(time.Second), ramp); got != 8 {
		t.Errorf("rate at half of the ramp: got %g, want 8", got)
	}
	now := start.Add(10 * time.Second)
	first.Hear(now, 1, named(4))
	late.Hear(now, 1, named(4))
	late.Merge(now, first)
	if got := late.Rate(now, ramp); got != 4 {
		t.Errorf("rate at a router that has heard late: got %g, want 4", got)
	}
	// A limit that has ended and is named again has no second ramp.
	first.Hear(now.Add(time.Second), 1, Answer{})
	first.Hear(now.Add(2*time.Second), 1, named(4))
	if got := first.Rate(now.Add(2*time.Second), ramp); got != 4 {
		t.Errorf("rate of a limit that is named again: got %g, want 4", got)
	}
}

// TestUnclearLimits checks that numbers that are no requests per second say nothing, also
// beside other statements.
func TestUnclearLimits(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		var s Statement
		s.Hear(start, 1, named(4))
		change := s.Hear(start.Add(time.Second), 1, Answer{Limit: NewLimit(perSecond), Leaving: true})
		if want := (Change{BeganLeaving: true}); change != want || s.Limit != NewLimit(4) {
			t.Errorf("after a limit of %g: got change %+v and limit %s, want %+v and 4", perSecond, change, s.Limit, want)
		}
		if !s.Told(start.Add(time.Second)) {
			t.Errorf("after a limit of %g: got a statement that others aren't told of, want one that they are", perSecond)
		}
	}
	if got := NewLimit(math.MaxFloat64).PerSecond; got != MaxPerSecond {
		t.Errorf("huge limit: got %g, want %g", got, MaxPerSecond)
	}
}

// TestSmallChanges guards against messages to all routers, and log lines, for each answer of
// an upstream that names a slightly different limit each time.
func TestSmallChanges(t *testing.T) {
	var s Statement
	now, changes := start, 0
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		if s.Hear(now, 1, named(10+float64(i%2)/2)).LimitChanged {
			changes++
		}
	}
	if changes != 1 || s.Limit != NewLimit(10.5) {
		t.Errorf("limits of 10 and 10.5 in turn: got %d changes and %s at last, want 1 and 10.5", changes, s.Limit)
	}
	// Small steps add up.
	for i := range 20 {
		now = now.Add(10 * time.Millisecond)
		if s.Hear(now, 1, named(10-float64(i)/4)).LimitChanged {
			changes++
		}
	}
	if changes < 3 {
		t.Errorf("a limit that falls to half in small steps: got %d changes, want some", changes-1)
	}
}
