// Package clocktest builds times for tests whose time of day jumps while the steady clock
// goes on. Package time offers no way to do so: Add moves both.
package clocktest

import (
	"fmt"
	"time"
	"unsafe"
)

// Clock holds a time of day and a reading of the steady clock.
type Clock struct {
	TimeOfDay time.Time
	Steady    time.Duration
}

// fields is the layout of time.Time: wall holds a bit for a monotonic reading, 33 bits of
// seconds since 1885 and 30 bits of nanoseconds, ext the reading.
type fields struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// Now returns what time.Now would for the clock. It panics if the layout of time.Time isn't
// the one that it knows.
func (c Clock) Now() time.Time {
	t := build(c.TimeOfDay, c.Steady)
	const probe = 1234567 * time.Microsecond
	later := build(c.TimeOfDay, c.Steady+probe)
	if !t.Round(0).Equal(c.TimeOfDay) || later.Sub(t) != probe || !later.Round(0).Equal(c.TimeOfDay) {
		panic(fmt.Sprintf("clocktest: got %v and %v, want the time of day %v and a steady clock", t, later, c.TimeOfDay))
	}
	return t
}

func build(timeOfDay time.Time, steady time.Duration) time.Time {
	seconds := timeOfDay.Unix() - time.Date(1885, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
	f := fields{wall: hasMonotonic | uint64(seconds)<<secondsShift | uint64(timeOfDay.Nanosecond()), ext: int64(steady)}
	return *(*time.Time)(unsafe.Pointer(&f))
}

// Advance moves both clocks.
func (c *Clock) Advance(d time.Duration) {
	c.TimeOfDay, c.Steady = c.TimeOfDay.Add(d), c.Steady+d
}

// Jump moves the time of day alone.
func (c *Clock) Jump(d time.Duration) { c.TimeOfDay = c.TimeOfDay.Add(d) }
