package locality

import "time"

// delayWindow is the time for which a measured delay is kept at least. The shortest of a window
// counts, since connections also wait for processors.
const delayWindow = 30 * time.Second

// Delay is the delay of the link to another data centre as measured by opening connections, which
// takes a round trip. The zero value knows none.
type Delay struct {
	current, previous time.Duration
	startedAt         time.Time
}

// Record adds the time that it took to open a connection.
func (d *Delay) Record(now time.Time, took time.Duration) {
	if took <= 0 {
		return
	}
	if age := now.Sub(d.startedAt); d.startedAt.IsZero() || age >= delayWindow {
		d.previous = d.current
		if age >= 2*delayWindow {
			d.previous = 0
		}
		d.current, d.startedAt = 0, now
	}
	if oneWay := took / 2; d.current == 0 || oneWay < d.current {
		d.current = oneWay
	}
}

// OneWay returns the measured delay in one direction, or a default if none is known.
func (d *Delay) OneWay(unmeasured time.Duration) time.Duration {
	switch {
	case d == nil || (d.current == 0 && d.previous == 0):
		return unmeasured
	case d.previous == 0 || (d.current > 0 && d.current < d.previous):
		return d.current
	default:
		return d.previous
	}
}
