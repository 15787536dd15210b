package dispatch

import "time"

const (
	// minReturn and maxReturn bound the time after which a refused caller may return.
	minReturn = 10 * time.Millisecond
	maxReturn = 5 * time.Second
	// returnShare is the part of the slots that become free which is left for callers that
	// return; the others go to new requests.
	returnShare = 0.5
	// patience is the part of the time that a caller has left which it waits at most before it
	// returns.
	patience = 1.0 / 3
	// maxReturns bounds the bookings that are kept.
	maxReturns = 1024
)

// slotTime returns the mean time after which a slot becomes free while all are taken.
func (d *Dispatcher) slotTime(now time.Time) time.Duration {
	perSecond := 0.0
	for _, h := range d.hosts {
		if !now.Before(h.pausedUntil) {
			perSecond += float64(d.slots(h)) / max(d.pace(now, h).Seconds(), 1e-4)
		}
	}
	if perSecond <= 0 {
		return d.usualRun()
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// expectedEnd returns when a request is expected to end that gets a slot after a number of
// others, and after the callers that return meanwhile.
func (d *Dispatcher) expectedEnd(now time.Time, ahead int) time.Time {
	slot := d.slotTime(now)
	begins := now.Add(time.Duration(ahead+1) * slot)
	for _, at := range d.returns {
		if now.Before(at) && at.Before(begins) {
			begins = begins.Add(slot)
		}
	}
	return begins.Add(d.usualRun())
}

// refuse refuses a request. The caller may return when there is room for it, beside those that
// were refused before. A caller that doesn't wait that long gets no booking.
func (d *Dispatcher) refuse(now time.Time, r Request) Decision {
	slot := d.slotTime(now)
	at := now.Add(max(time.Duration(d.ahead(queued{Request: r, at: now, serial: d.asked, latest: d.latestEnd(now, r)})+1)*slot, minReturn))
	for len(d.returns) > 0 && !now.Before(d.returns[0]) {
		d.returns = d.returns[1:]
	}
	if n := len(d.returns); n > 0 {
		at = later(at, d.returns[n-1].Add(time.Duration(float64(slot)/returnShare)))
	}
	if most := now.Add(maxReturn); at.After(most) {
		at = most
	}
	wait := at.Sub(now)
	if r.Deadline.IsZero() || wait <= time.Duration(patience*float64(r.Deadline.Sub(now))) {
		if len(d.returns) < maxReturns {
			d.returns = append(d.returns, at)
		}
	}
	return Decision{Key: r.Key, Kind: Refused, After: wait.Round(time.Millisecond)}
}
