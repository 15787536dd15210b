package main

import "time"

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
