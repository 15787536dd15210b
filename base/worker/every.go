package worker

import (
	"context"
	"sync"
	"time"
)

// Clock runs jobs at intervals. The zero value runs none.
type Clock struct {
	wg sync.WaitGroup
}

// Every calls fn at each interval until ctx is done.
func (c *Clock) Every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				fn(ctx)
			}
		}
	}()
}

// Loop calls fn again and again until ctx is done. Fn itself waits.
func (c *Clock) Loop(ctx context.Context, fn func(context.Context)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for ctx.Err() == nil {
			fn(ctx)
		}
	}()
}

// Wait returns when all jobs have ended.
func (c *Clock) Wait() { c.wg.Wait() }
