// Package pace decides what is known of how long work takes on the hosts of upstreams, which
// they share with other workloads, and what that is worth to a request.
package pace

import (
	"math"
	"time"
)

const (
	// SlowFrom is the pace from which on a host is slow, in hundredths of the usual one. Lower
	// ones cost a request less than what is saved by staying where its prompt is.
	SlowFrom = 150
	// MaxHundredths is the highest pace that is believed.
	MaxHundredths = 10_000
	// weightTime is the time constant with which an observation loses its weight. Hosts are
	// slow for some 600 ms at a time, and an observation falls anywhere within: after 400 ms
	// a third of them still are.
	weightTime = 400 * time.Millisecond
	// forgetAfter is the age from which on an observation counts for nothing.
	forgetAfter = 3 * weightTime
	// MaxDelay is the mean delay of messages from which on telling is worth nothing: half of the
	// weight is lost on the way.
	MaxDelay = 300 * time.Millisecond
	// TellInterval is the shortest time between two messages about one upstream, of all routers
	// together as far as they hear of each other.
	TellInterval = 250 * time.Millisecond
)

// Record is what a router knows of the pace of an upstream's host. The zero value knows
// nothing, which counts as usual.
type Record struct {
	// Hundredths is the last pace that was observed, at the time At.
	Hundredths int
	At         time.Time
	// ToldAt is when the routers were last told of the pace, by this router or another one.
	ToldAt time.Time
	// Own is true if this router has observed the pace itself, and has heard of no later one.
	Own bool
}

// Factor returns how many times longer than usual work is expected to take on the host. It is
// one for a usual host and for one of which nothing recent is known: a host that was last seen
// fast would otherwise attract all routers.
func (r Record) Factor(now time.Time) float64 {
	age := max(now.Sub(r.At), 0)
	if r.Hundredths < SlowFrom || age >= forgetAfter {
		return 1
	}
	excess := float64(r.Hundredths)/100 - 1
	return 1 + excess*math.Exp(-age.Seconds()/weightTime.Seconds())
}

// Slow reports whether the host is known to be slow.
func (r Record) Slow(now time.Time) bool { return r.Factor(now) > 1 }

// Observe records a pace that the upstream has just stated to this router. It reports whether
// the other routers are to be told: the host has become slow or usual, or has gone on being slow
// for TellInterval, and none was told of it in that time.
func (r *Record) Observe(now time.Time, hundredths int) (tell bool) {
	knownSlow, slow := r.Slow(now), hundredths >= SlowFrom
	r.Hundredths, r.At, r.Own = min(hundredths, MaxHundredths), now, true
	if (!knownSlow && !slow) || now.Sub(r.ToldAt) < TellInterval {
		return false
	}
	r.ToldAt = now
	return true
}

// Learn records a pace that another router has observed at a time, unless a later one is known.
func (r *Record) Learn(at time.Time, hundredths int) {
	if at.After(r.ToldAt) {
		r.ToldAt = at
	}
	if at.Before(r.At) {
		return
	}
	r.Hundredths, r.At, r.Own = min(hundredths, MaxHundredths), at, false
}
