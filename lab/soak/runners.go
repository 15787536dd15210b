package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/runner"
)

const (
	// downTime is the time between the end of a runner's process and its next start.
	downTime = 100 * time.Millisecond
	// maxRestartGap bounds the time before a restart.
	maxRestartGap = 4 * time.Second
)

// restartRunners restarts random runners during faultTime, and waits until the faults have
// ended. It has random numbers of its own, so that the faults of a seed stay the same.
func (s *soak) restartRunners(ctx context.Context, random *rand.Rand) {
	if !s.plannedOnly {
		s.injectRepeatedly(ctx, random, maxRestartGap, fault{"restart", outage, restartRunner})
	}
}

// restartRunner ends the process of a random runner without notice and starts it again at the
// same address under a new id. For a while, two entries name the address.
func restartRunner(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.takeRunner(random)
	if r == nil {
		return "", "", nil
	}
	c := r.Config
	c.ID, c.ColdTime = runnerID(s.countRunner()), 0
	r.Terminate()
	r.Proxy.SetFault(proxy.NoFault)
	time.AfterFunc(downTime, func() {
		s.ledger.CountEvent("readdressed")
		s.takeIn(runner.StartAt(c, r.Proxy, s.store, s.ledger))
	})
	return r.ID, c.ID + " at " + r.Proxy.Address(), nil
}

const (
	// minSlowTime and maxSlowTime are the limits of the time for which a runner is slow, and
	// maxSlowGap that of the time between two.
	minSlowTime = time.Second
	maxSlowTime = 3 * time.Second
	maxSlowGap  = 2 * time.Second
)

// slowRunners lets one random runner after another be slow during faultTime, so that routers
// leave it for another one. It is no fault that excuses a router, and comes beside planned work,
// too. It has random numbers of its own, so that the faults of a seed stay the same.
func (s *soak) slowRunners(ctx context.Context, random *rand.Rand) {
	for deadline := time.Now().Add(s.faultTime); time.Now().Before(deadline) && ctx.Err() == nil; {
		r := s.pickRunner(random)
		duration := minSlowTime + time.Duration(random.Int64N(int64(maxSlowTime-minSlowTime)))
		s.log.Info("slow", zap.String("part", r.ID), zap.Duration("for", duration))
		r.SetMode(runner.Slow)
		sleep(ctx, duration)
		r.SetMode(runner.Healthy)
		sleep(ctx, time.Duration(random.Int64N(int64(maxSlowGap))))
	}
}

// coldRate is the capacity of a cold engine in requests per second.
const coldRate = 8

// addRunner starts a runner in a pool and a zone. An engine is cold for coldTime
// after its start.
func (s *soak) addRunner(pool, zone string, coldTime time.Duration) {
	n := s.countRunner()
	c := runner.Config{ID: runnerID(n), Pool: pool, Zone: zone, Slots: appSlots, ColdTime: coldTime, Release: releases[n%len(releases)]}
	s.mu.Lock()
	if release := s.poolRelease[pool]; release != "" {
		c.Release = release
	}
	s.mu.Unlock()
	switch {
	case pool == "engines":
		c.Slots, c.ColdRate = engineSlots, coldRate
	case s.scarceSlots > 0:
		c.Slots, c.Quiet = s.scarceSlots, true
	}
	s.takeIn(runner.Start(c, s.store, s.ledger))
}

// countRunner returns the number of the next runner, counted from one.
func (s *soak) countRunner() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runnersStarted++
	return s.runnersStarted
}

func runnerID(n int) string { return fmt.Sprintf("i-%d", n) }

// takeIn adds a runner that was started to those in service.
func (s *soak) takeIn(r *runner.Runner, err error) {
	if err != nil {
		s.ledger.RecordViolation(time.Now(), "harness", "start runner: %v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = append(s.runners, r)
}

// takeRunner chooses a runner at random and removes it from those in service. It
// returns nil if fewer than two runners of its pool would remain, or if it runs a release on trial.
func (s *soak) takeRunner(random *rand.Rand) *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	for _, r := range s.runners {
		if r.Release != s.trialRelease {
			count[r.Pool]++
		}
	}
	i := random.IntN(len(s.runners))
	r := s.runners[i]
	if count[r.Pool] <= 2 || r.Release == s.trialRelease {
		return nil
	}
	s.runners = append(s.runners[:i], s.runners[i+1:]...)
	return r
}

// pickRunner returns a random runner in service.
func (s *soak) pickRunner(random *rand.Rand) *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[random.IntN(len(s.runners))]
}
