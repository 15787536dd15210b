// Package ratelimit counts events within a sliding window, to limit their rate, and
// divides such a limit among its holders.
package ratelimit

import "time"

// Window holds the times of events within a sliding window. The zero value is empty.
type Window struct {
	times []time.Time
}

// Count returns the number of events in the span before now, and drops older ones.
func (w *Window) Count(now time.Time, span time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) >= span {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}

// Add records an event at the time now, which must not be before earlier ones.
func (w *Window) Add(now time.Time) { w.times = append(w.times, now) }

// Share returns one holder's share of a whole number that is divided evenly among n
// holders. Rank is the holder's index, from zero. The shares add up to whole.
func Share(whole, n, rank int) int {
	n = max(n, 1)
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}
