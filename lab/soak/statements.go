package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/runner"
	"camphorpulley.org/lab/soak/store"
)

const (
	// minCopyAge and maxCopyAge are the limits of the age of the copy from which the store
	// comes back, maxStoreOutage that of the time for which it is away before.
	minCopyAge     = time.Second
	maxCopyAge     = 8 * time.Second
	maxStoreOutage = 2 * time.Second
	// maxRewriteTime is how long after that what it lacks may take to be written again.
	maxRewriteTime = time.Second
	// maxRestoreGap bounds the time before a restore.
	maxRestoreGap = 6 * time.Second
)

// restoreStore brings the store back from older copies during faultTime. It has random
// numbers of its own, so that the faults of a seed stay the same.
func (s *soak) restoreStore(ctx context.Context, random *rand.Rand) {
	for deadline := time.Now().Add(s.faultTime); ; {
		sleep(ctx, time.Duration(random.Int64N(int64(maxRestoreGap))))
		if s.plannedOnly || ctx.Err() != nil || !time.Now().Before(deadline) {
			return
		}
		age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
		recordEnd := s.ledger.BeginFault(time.Now(), ledger.Fault{Component: ledger.StoreComponent})
		s.store.SetFault(store.NoResponse)
		sleep(ctx, time.Duration(random.Int64N(int64(maxStoreOutage))))
		writeAgain := s.store.Restore(age, routerTopic)
		s.store.SetFault(store.NoFault)
		s.log.Info("store_restored", zap.Duration("age", age))
		sleep(ctx, time.Duration(random.Int64N(int64(maxRewriteTime))))
		writeAgain()
		recordEnd(time.Now())
	}
}

// routerTopic is the store's topic of the routers' own records.
const routerTopic = "keyed.routers"

const (
	// minLimitTime and maxLimitTime are the limits of the time for which a runner names a
	// limit, maxLimitGap that of the time between the starts of two.
	minLimitTime = 5 * time.Second
	maxLimitTime = 9 * time.Second
	maxLimitGap  = 3 * time.Second
	// maxLimit is the highest limit in requests per second.
	maxLimit = 8
	// shedEvery is how many runners name a limit for each one that turns requests away.
	shedEvery = 3
)

// letRunnersSpeak lets random runners name limits or turn requests away for faultTime, and
// waits until none does. It has random numbers of its own, so that the faults of a seed stay
// the same.
func (s *soak) letRunnersSpeak(ctx context.Context, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for deadline := time.Now().Add(s.faultTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		r, perSecond := s.pickRunner(random), float64(1+random.IntN(maxLimit))
		duration := minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))
		sheds := random.IntN(shedEvery) == 0
		wg.Go(func() {
			if sheds {
				s.log.Info("sheds", zap.String("part", r.ID), zap.Duration("for", duration))
				r.SetMode(runner.Shedding)
				sleep(ctx, min(duration, time.Until(deadline.Add(settleTime/2))))
				r.SetMode(runner.Healthy)
				return
			}
			s.log.Info("limit_named", zap.String("part", r.ID), zap.Float64("limit", perSecond), zap.Duration("for", duration))
			r.SetLimit(perSecond)
			sleep(ctx, min(duration, time.Until(deadline.Add(settleTime/2))))
			r.SetLimit(0)
		})
		sleep(ctx, time.Duration(random.Int64N(int64(maxLimitGap))))
	}
}
