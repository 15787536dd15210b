package cluster

import (
	"context"
	"time"

	"camphorpulley.org/base/worker"
)

const (
	// minLongPollWait and maxLongPollWait bound how long a read of the operators' feed
	// waits for a new record.
	minLongPollWait = 200 * time.Millisecond
	maxLongPollWait = 4 * time.Second
	// retryReserve is the time that is left for the read after a long poll without a
	// response.
	retryReserve = 300 * time.Millisecond
)

// nextWait returns how long the next read may wait for a record. One after a failure doesn't, so
// that the recovery of the store is seen at once, nor does one after another router has read more.
func (f *feedReader) nextWait(now time.Time) time.Duration {
	switch {
	case f.failedCalls > 0 || f.overtaken:
		return 0
	case f.feed == OperatorFeed && f.confirmAt.IsZero():
		return f.fleet.OperatorWait(now, f.pollWait)
	}
	return f.pollWait
}

// pollEnd is how a read that may wait has ended.
type pollEnd int

// A read is answered, or it is left to the store: its era has ended, or another router has read
// more, or no longer tells this one of records.
const (
	pollAnswered pollEnd = iota
	pollEraEnded
	pollOvertaken
)

// overtakenCheck is the time between two checks whether another router has read more.
const overtakenCheck = 200 * time.Millisecond

// isOvertaken reports whether a read that began at a time is to be left to the store.
func (f *feedReader) isOvertaken(now, began time.Time, wait time.Duration) bool {
	if f.feed != OperatorFeed || wait == 0 {
		return false
	}
	return f.fleet.OperatorsBehind(now) || now.Sub(began) > f.fleet.OperatorWait(now, f.pollWait)+PollMargin
}

// poll reads the records from the next offset on. The page is empty if the read was left to the
// store.
func (f *feedReader) poll(ctx context.Context, wait time.Duration) (page Page, end pollEnd, err error) {
	type result struct {
		page Page
		err  error
	}
	done := make(chan result, 1)
	from := f.next
	go func() {
		var r result
		if panicked := worker.Protect(func() { r.page, r.err = f.store.Since(ctx, f.feed, from, wait) }); panicked != nil {
			r.err = panicked
		}
		done <- r
	}()
	began := time.Now()
	check := time.NewTicker(overtakenCheck)
	defer check.Stop()
	for {
		select {
		case r := <-done:
			return r.page, pollAnswered, r.err
		case <-f.eraEnded:
			return Page{}, pollEraEnded, nil
		case now := <-check.C:
			if f.isOvertaken(now, began, wait) {
				return Page{}, pollOvertaken, nil
			}
		}
	}
}

// longPollWait returns how long a read of the operators' feed may wait. A read that the
// store lost during an outage gets no response, and may have been sent at the end of it
// by all routers at once, so that none can tell the others of a new record. It must
// fail, and the next one end, within the recovery time, by which routers are up to date
// again.
func longPollWait(recovery time.Duration) time.Duration {
	wait := recovery - PollMargin - initialBackoff - retryReserve
	return min(max(wait, minLongPollWait), maxLongPollWait)
}
