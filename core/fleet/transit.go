package fleet

import (
	"time"

	"camphorpulley.org/core/table"
)

// The clocks of two routers can't be compared, but the difference between the time since
// the sender's start at which a message was sent and the time at which it was received
// is the same for all messages between them, except for their delays. What exceeds the
// smallest recent difference is how much longer a message took than the quickest one.

// transitWindow is the time for which a difference is kept at least: clocks drift apart.
// It is also the longest delay that is reported.
const transitWindow = 30 * time.Second

// transit holds the smallest differences between the times at which the messages of one
// process of a router were received and sent, in milliseconds. The zero value has none.
type transit struct {
	current, previous int64
	// hasCurrent and hasPrevious report whether there is a difference of the current
	// window, which began at startedAt, and of the one before.
	hasCurrent, hasPrevious bool
	startedAt               time.Time
}

// record adds a difference and returns by how much it exceeds the smallest one.
func (t *transit) record(now time.Time, difference int64) int64 {
	if age := now.Sub(t.startedAt); age >= transitWindow {
		t.previous, t.hasPrevious = t.current, t.hasCurrent && age < 2*transitWindow
		t.hasCurrent, t.startedAt = false, now
	}
	if !t.hasCurrent || difference < t.current {
		t.current, t.hasCurrent = difference, true
	}
	smallest := t.current
	if t.hasPrevious {
		smallest = min(smallest, t.previous)
	}
	return min(difference-smallest, transitWindow.Milliseconds())
}

// delayWindow is the time for which the longest delay of a message counts at least.
const delayWindow = time.Second

// meanDelayWeight is the weight of the newest message in the mean delay: that of about a
// second in a data centre of twenty routers.
const meanDelayWeight = 0.02

// delays holds the longest and the mean delay of the messages of all other routers. The zero
// value has none.
type delays struct {
	// current is the longest of the current window, which began at startedAt, previous that
	// of the one before.
	current, previous time.Duration
	startedAt         time.Time
	mean              time.Duration
}

// record adds the delay of a message.
func (d *delays) record(now time.Time, delay time.Duration) {
	if age := now.Sub(d.startedAt); age >= delayWindow {
		d.current, d.previous, d.startedAt = 0, d.longest(now), now
	}
	d.current = max(d.current, delay)
	d.mean += time.Duration(meanDelayWeight * float64(delay-d.mean))
}

// longest returns the longest delay of the current and the previous window.
func (d *delays) longest(now time.Time) time.Duration {
	switch age := now.Sub(d.startedAt); {
	case age < delayWindow:
		return max(d.current, d.previous)
	case age < 2*delayWindow:
		return d.current
	default:
		return 0
	}
}

// MessageDelay returns how much longer than the quickest ones messages of other routers have
// taken within about a second, at most.
func (f *Fleet) MessageDelay(now time.Time) time.Duration {
	return table.Read(f.members, table.Hold{}, func(t *members) time.Duration { return t.delays.longest(now) })
}

// countAge returns the mean age of the counts that other routers have sent, and the number of
// other routers in the data centre. If those are silent, the counts are at least as old as
// their last messages.
func (f *Fleet) countAge(now time.Time) (age time.Duration, neighbours int) {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		live, silence := 0, time.Duration(0)
		for _, m := range t.byID {
			if m.DataCentre != f.settings.DataCentre || now.Sub(m.refreshedAt) > memberTTL {
				continue
			}
			neighbours++
			if !m.lastSeen.IsZero() && m.live(now) {
				live++
				silence += now.Sub(m.lastSeen)
			}
		}
		age = max(heartbeatInterval(neighbours), silence/time.Duration(max(live, 1))) + t.delays.mean
	})
	return age, neighbours
}

// uptimeMS returns the time since the router's start in milliseconds, at least one.
func (f *Fleet) uptimeMS(now time.Time) int64 { return max(now.Sub(f.started).Milliseconds(), 1) }

// recordTransit records a message that another router sent at a time since its start. It
// returns how much longer the message took than the quickest recent one, in
// milliseconds; zero if the message doesn't state when it was sent.
func (f *Fleet) recordTransit(now time.Time, from Member, sentMS int64) int64 {
	if sentMS <= 0 {
		return 0
	}
	return table.Read(f.members, table.Hold{}, func(t *members) int64 {
		m, ok := t.byID[from.ID]
		if !ok {
			return 0
		}
		delay := m.transit.record(now, f.uptimeMS(now)-sentMS)
		t.byID[from.ID] = m
		t.delays.record(now, time.Duration(delay)*time.Millisecond)
		return delay
	})
}
