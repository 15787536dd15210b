// Package pace bounds how often something is done within a sliding window.
package pace

import "time"

// Window remembers the times of what was done within a span. The zero value is
// empty.
type Window struct {
	times []time.Time
}

// Count returns how much was done in the span before now.
func (w *Window) Count(now time.Time, span time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) >= span {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}

// Add takes in that something is done now.
func (w *Window) Add(now time.Time) { w.times = append(w.times, now) }

// Share returns the part of a whole number that one of n holders has, where
// rank is its place among them from zero. The parts add up to at most whole.
func Share(whole, n, rank int) int {
	n = max(n, 1)
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}
