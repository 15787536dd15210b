package orders

import (
	"time"

	"camphorpulley.org/core/order"
)

// open are the claims of this process that are on their way, and the requests
// that wait for results.
type open struct {
	serial uint64
	// read holds a channel for each claim that waits to be read in the log.
	read map[uint64]chan struct{}
	// given holds the claims that were given up, and when. Each copy of one
	// that is read in the log is voided there.
	given   map[uint64]time.Time
	results map[order.Key][]chan struct{}
}

func newOpen() open {
	return open{
		read:    map[uint64]chan struct{}{},
		given:   map[uint64]time.Time{},
		results: map[order.Key][]chan struct{}{},
	}
}

// next returns a new serial number.
func (o *open) next() uint64 {
	o.serial++
	return o.serial
}

// wait returns the channel that is closed when a claim is read.
func (o *open) wait(serial uint64) chan struct{} {
	read := make(chan struct{})
	o.read[serial] = read
	return read
}

// waits reports whether a claim waits to be read.
func (o *open) waits(serial uint64) bool {
	_, ok := o.read[serial]
	return ok
}

// abandon gives up a claim. It reports false if the claim was read before.
func (o *open) abandon(now time.Time, serial uint64) bool {
	if !o.waits(serial) {
		return false
	}
	delete(o.read, serial)
	o.given[serial] = now
	return true
}

// found takes in that a claim was read in the log. It reports whether the
// claim had been given up.
func (o *open) found(now time.Time, serial uint64) bool {
	if read := o.read[serial]; read != nil {
		close(read)
		delete(o.read, serial)
	}
	_, gone := o.given[serial]
	for s, at := range o.given {
		if now.Sub(at) > givenMemory {
			delete(o.given, s)
		}
	}
	return gone
}

// await returns a channel that is closed when the key's result is known or the
// key is open again.
func (o *open) await(key order.Key) chan struct{} {
	done := make(chan struct{})
	o.results[key] = append(o.results[key], done)
	return done
}

// wake closes the channels of a key.
func (o *open) wake(key order.Key) {
	for _, done := range o.results[key] {
		close(done)
	}
	delete(o.results, key)
}
