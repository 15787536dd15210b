// Package upstream holds the state of engines and application instances.
package upstream

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Evidence is what a router has just seen of an upstream.
type Evidence int

const (
	// Answered means that the upstream answered a request or a probe.
	Answered Evidence = iota
	// Refused means that no connection could be made.
	Refused
	// Broke means that a connection broke while requests ran on it.
	Broke
)

// Upstream is one engine or application instance.
type Upstream struct {
	ID         core.UpstreamID
	Pool       core.Pool
	DataCentre core.DataCentre
	Address    string
	Leaving    bool
	State      State
}

// State is what is known of an upstream's process. The zero value is one of
// which nothing is known: it bears what a cold upstream bears.
type State struct {
	// Boot names the process; empty until it has answered.
	Boot string
	// Since is when the ramp began; the zero time means never.
	Since time.Time
	// Down is set when a connection was refused and cleared by an answer.
	Down bool
	// Retry is when a down upstream may be tried again.
	Retry time.Time
}

// RetryPause is the time between tries of an upstream that refuses
// connections.
const RetryPause = 500 * time.Millisecond

// Observe returns the state after a piece of evidence. An answer under a new
// boot name, or the first one after a refusal, starts the ramp anew.
func (s State) Observe(now time.Time, e Evidence, boot string) State {
	switch e {
	case Answered:
		return s.answered(now, boot)
	default:
		s.Down = true
		s.Since = time.Time{}
		s.Retry = now.Add(RetryPause)
		return s
	}
}

func (s State) answered(now time.Time, boot string) State {
	changed := boot != "" && boot != s.Boot
	if changed || s.Since.IsZero() {
		s.Since = now
	}
	if boot != "" {
		s.Boot = boot
	}
	s.Down = false
	return s
}

// Ramp is how much an upstream bears as it warms up.
type Ramp struct {
	// Cold is the limit at the start and Full the limit at the end.
	Cold, Full int
	// Length is the time from start to full limit.
	Length time.Duration
}

// Limit returns how many requests the upstream bears at a time. A down
// upstream bears one probe at a time once its pause has passed.
func (s State) Limit(now time.Time, r Ramp) int {
	cold := min(max(r.Cold, 1), max(r.Full, 1))
	if s.Down {
		if now.Before(s.Retry) {
			return 0
		}
		return 1
	}
	if s.Since.IsZero() {
		return cold
	}
	age := now.Sub(s.Since)
	if r.Length <= 0 || age >= r.Length {
		return max(r.Full, cold)
	}
	grown := float64(r.Full-cold) * float64(age) / float64(r.Length)
	return cold + int(grown)
}

// Sort puts upstreams in order of their names.
func Sort(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
}
