// Package quota divides the requests that an upstream's limit permits among all routers.
// One router, the allotter, holds a Bucket for the upstream and grants requests from it;
// each other router holds what it was granted in a Purse until it is used or expires.
package quota

import (
	"time"

	"camphorpulley.org/core/ratelimit"
)

// Bucket counts the requests that an allotter may still grant. The zero value is empty, so
// that grants of an earlier allotter and of this one don't add up.
type Bucket struct {
	level    float64
	filledAt time.Time
	// denied holds the times of asks that were denied.
	denied ratelimit.Window
	// starvedUntil is until when requests that could run elsewhere are denied, because
	// the bucket had none for one that is best served here.
	starvedUntil time.Time
}

const (
	// burstTime is the time in which the requests that a bucket holds at most accrue; it
	// holds at least one.
	burstTime = 500 * time.Millisecond
	// MinPerSecond is the lowest rate of a bucket: an upstream with a limit of zero gets
	// a request now and then, whose answer tells that it takes more again.
	MinPerSecond = 0.25
	// askInterval is the shortest mean time between the asks of all routers that are
	// denied.
	askInterval = 2 * time.Millisecond
	// minRetry and maxRetry bound the time after which a router may ask again.
	minRetry = 20 * time.Millisecond
	maxRetry = time.Second
)

// fill adds what has accrued at a rate in requests per second.
func (b *Bucket) fill(now time.Time, perSecond float64) {
	if b.filledAt.IsZero() || now.Before(b.filledAt) {
		b.filledAt = now
		return
	}
	b.level = min(b.level+perSecond*now.Sub(b.filledAt).Seconds(), max(perSecond*burstTime.Seconds(), 1))
	b.filledAt = now
}

// Take grants up to count requests at a rate in requests per second, and returns how many.
// If it grants none, retry is the time after which to ask again. Preferred requests are
// best served by this upstream; others are denied while those are.
func (b *Bucket) Take(now time.Time, perSecond float64, count int, preferred bool) (granted int, retry time.Duration) {
	perSecond = max(perSecond, MinPerSecond)
	b.fill(now, perSecond)
	if preferred || !now.Before(b.starvedUntil) {
		granted = min(max(count, 0), int(b.level))
		b.level -= float64(granted)
	}
	if granted > 0 {
		return granted, 0
	}
	b.denied.Add(now)
	untilNext := time.Duration(max(1-b.level, 0) / perSecond * float64(time.Second))
	retry = min(max(untilNext, askInterval*time.Duration(b.denied.Count(now, maxRetry)), minRetry), maxRetry)
	if preferred {
		b.starvedUntil = now.Add(retry + minRetry)
	}
	return 0, retry
}
