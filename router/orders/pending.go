package orders

import (
	"time"

	"camphorpulley.org/core/order"
)

// pending holds the claims of this process that were not read from the log yet,
// and the requests that wait for the result of another one.
type pending struct {
	serial uint64
	// claimWaiters holds, by serial, a channel for each claim that waits to be
	// read from the log.
	claimWaiters map[uint64]chan struct{}
	// abandoned holds the serials of the claims that were abandoned or voided,
	// and when. If a copy of such a claim is read from the log, it is voided
	// there.
	abandoned map[uint64]time.Time
	// resultWaiters holds, by key, the channels of the requests that wait for a
	// result.
	resultWaiters map[order.Key][]chan struct{}
}

func newPending() pending {
	return pending{
		claimWaiters:  map[uint64]chan struct{}{},
		abandoned:     map[uint64]time.Time{},
		resultWaiters: map[order.Key][]chan struct{}{},
	}
}

// nextSerial returns the serial number for a new claim, counted from one.
func (p *pending) nextSerial() uint64 {
	p.serial++
	return p.serial
}

// addClaim registers a claim and returns a channel that is closed when the
// claim is read from the log.
func (p *pending) addClaim(serial uint64) chan struct{} {
	read := make(chan struct{})
	p.claimWaiters[serial] = read
	return read
}

// isPending reports whether a claim waits to be read from the log.
func (p *pending) isPending(serial uint64) bool {
	_, ok := p.claimWaiters[serial]
	return ok
}

// abandonClaim stops waiting for a claim. It reports false if the claim was
// read before.
func (p *pending) abandonClaim(now time.Time, serial uint64) bool {
	if !p.isPending(serial) {
		return false
	}
	delete(p.claimWaiters, serial)
	p.abandoned[serial] = now
	return true
}

// markRead wakes the request that waits for a claim, now read from the log, and
// reports whether the claim was abandoned before. It also forgets claims that were
// abandoned more than abandonedRetention ago.
func (p *pending) markRead(now time.Time, serial uint64) bool {
	if read := p.claimWaiters[serial]; read != nil {
		close(read)
		delete(p.claimWaiters, serial)
	}
	_, wasAbandoned := p.abandoned[serial]
	for abandonedSerial, at := range p.abandoned {
		if now.Sub(at) > abandonedRetention {
			delete(p.abandoned, abandonedSerial)
		}
	}
	return wasAbandoned
}

// addResultWaiter returns a channel that is closed when the result of the key
// is known or the key can be claimed again.
func (p *pending) addResultWaiter(key order.Key) chan struct{} {
	done := make(chan struct{})
	p.resultWaiters[key] = append(p.resultWaiters[key], done)
	return done
}

// wake closes the channels of all requests that wait for the result of a key.
func (p *pending) wake(key order.Key) {
	for _, done := range p.resultWaiters[key] {
		close(done)
	}
	delete(p.resultWaiters, key)
}
