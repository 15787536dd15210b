package cluster

import (
	"context"
	"time"
)

// signal tells one goroutine that an event has occurred since it last asked.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// notify records an event. It doesn't wait.
func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// wait waits for an event. It returns false if the context ends first.
func (s signal) wait(ctx context.Context) bool {
	select {
	case <-s:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitAtMost waits for an event, for a time at most.
func (s signal) waitAtMost(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s:
	case <-ctx.Done():
	case <-timer.C:
	}
}
