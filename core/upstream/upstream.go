// Package upstream holds the state of engines and application instances, and how
// their capacity grows after a start.
package upstream

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Observation is an outcome at an upstream that a router has just observed.
type Observation int

const (
	// Answered means that the upstream answered a request or a probe.
	Answered Observation = iota
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// ConnectionBroke means that a connection broke while requests ran on it.
	ConnectionBroke
)

// Upstream is one engine or application instance.
type Upstream struct {
	ID         core.UpstreamID
	Pool       core.Pool
	DataCentre core.DataCentre
	Address    string
	Draining   bool
	State      State
}

// State is the observed state of an upstream's process. The zero value is one of
// which nothing was observed; it has the capacity of a cold upstream.
type State struct {
	// Boot is the boot id, which identifies the process; empty until an answer has
	// stated it.
	Boot string
	// RampStart is when the ramp began; zero if it has not begun since the last
	// failure.
	RampStart time.Time
	// Down becomes true when a connection fails or breaks, and false with an answer.
	Down bool
	// RetryAt is when an upstream that is down may be tried again.
	RetryAt time.Time
}

// RetryInterval is the time between tries of an upstream that is down.
const RetryInterval = 500 * time.Millisecond

// Observe returns the state after an observation. The ramp starts anew with an
// answer that has a new boot id, and with the first answer after a failure. boot is
// empty if the answer has none.
func (s State) Observe(now time.Time, o Observation, boot string) State {
	switch o {
	case Answered:
		return s.answered(now, boot)
	default:
		s.Down = true
		s.RampStart = time.Time{}
		s.RetryAt = now.Add(RetryInterval)
		return s
	}
}

func (s State) answered(now time.Time, boot string) State {
	changed := boot != "" && boot != s.Boot
	if changed || s.RampStart.IsZero() {
		s.RampStart = now
	}
	if boot != "" {
		s.Boot = boot
	}
	s.Down = false
	return s
}

// Ramp is how the capacity of an upstream grows as it warms up.
type Ramp struct {
	// Cold is the capacity at RampStart and Full that at the end of the ramp.
	Cold, Full int
	// Length is the time from RampStart to the full capacity.
	Length time.Duration
}

// Limit returns the number of requests that the upstream may serve at a time. An
// upstream that is down may serve none until RetryAt and one probe at a time from
// then on. For any other the limit is at least one.
func (s State) Limit(now time.Time, r Ramp) int {
	cold := min(max(r.Cold, 1), max(r.Full, 1))
	if s.Down {
		if now.Before(s.RetryAt) {
			return 0
		}
		return 1
	}
	if s.RampStart.IsZero() {
		return cold
	}
	age := now.Sub(s.RampStart)
	if r.Length <= 0 || age >= r.Length {
		return max(r.Full, cold)
	}
	growth := float64(r.Full-cold) * float64(age) / float64(r.Length)
	return cold + int(growth)
}

// SortByID sorts a list in place, so that results don't depend on the order of a map.
func SortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
}
