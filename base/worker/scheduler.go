package worker

import (
	"context"
	"sync"
	"time"
)

// Scheduler runs jobs beside the requests, most of them periodic, each on a goroutine of its own. The zero value
// is ready for use.
type Scheduler struct {
	wg sync.WaitGroup
}

// Every starts a job that calls fn once per interval until ctx is done. The
// first call comes after one interval.
func (s *Scheduler) Every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = Protect(func() { fn(ctx) })
			}
		}
	}()
}

// panicPause is the time after a panic in Repeat before the next call.
const panicPause = 200 * time.Millisecond

// Repeat starts a job that calls fn without a pause until ctx is done. Fn must
// block while it has nothing to do.
func (s *Scheduler) Repeat(ctx context.Context, fn func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for ctx.Err() == nil {
			if Protect(func() { fn(ctx) }) != nil {
				Sleep(ctx, panicPause)
			}
		}
	}()
}

// Once starts a job that calls fn once.
func (s *Scheduler) Once(ctx context.Context, fn func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = Protect(func() { fn(ctx) })
	}()
}

// Wait returns once all jobs have ended.
func (s *Scheduler) Wait() { s.wg.Wait() }
