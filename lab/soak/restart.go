package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/runner"
)

const (
	// maxInPlaceGap bounds the time between two restarts in place, and maxCutGap that between two
	// runners that cut streams.
	maxInPlaceGap = 800 * time.Millisecond
	maxCutGap     = 400 * time.Millisecond
	// maxEngineDraws bounds how often a random runner is drawn until it is one that sends streams.
	maxEngineDraws = 8
	// maxEntryDelay bounds the time until the entry of a process that was restarted in place shows
	// it: a runner writes one in each heartbeat interval.
	maxEntryDelay = 600 * time.Millisecond
)

// disruptStreams injects, during faultTime, the faults after which streams go on at other runners:
// restarts in place and cut streams. It has random numbers of its own, so that the other faults of a
// seed stay the same. Runs with a roll-out have these faults only on request: they fall on
// the release before, beside which the new one is judged.
func (s *soak) disruptStreams(ctx context.Context, random *rand.Rand) {
	if s.plannedOnly || (s.rollouts && !s.disruptRollouts) {
		return
	}
	var wg sync.WaitGroup
	restarts, cuts := rand.New(rand.NewPCG(random.Uint64(), 0)), rand.New(rand.NewPCG(random.Uint64(), 1))
	wg.Go(func() {
		s.injectRepeatedly(ctx, restarts, maxInPlaceGap, fault{"restart_in_place", outage, restartInPlace})
	})
	wg.Go(func() { s.injectRepeatedly(ctx, cuts, maxCutGap, fault{"cut_streams", misbehaviour, cutStreams}) })
	wg.Wait()
}

// injectRepeatedly injects a fault again and again during faultTime, and waits until all have ended.
func (s *soak) injectRepeatedly(ctx context.Context, random *rand.Rand, maxGap time.Duration, f fault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for deadline := time.Now().Add(s.faultTime); ; {
		sleep(ctx, time.Duration(random.Int64N(int64(maxGap))))
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return
		}
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		wg.Go(func() { s.inject(ctx, f, duration, faultRandom) })
	}
}

// restartInPlace ends the process of a random runner without notice and starts it again under its
// id and address, with one of the releases. Its entry is that of the earlier process until then.
func restartInPlace(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.takeRunner(random)
	if r == nil {
		return "", "", nil
	}
	c := r.Config
	c.ColdTime, c.EntryDelay = 0, 1+time.Duration(random.Int64N(int64(maxEntryDelay)))
	if release := releases[random.IntN(len(releases))]; !s.rollouts {
		c.Release = release
	}
	r.Kill()
	r.Proxy.SetFault(proxy.NoFault)
	time.AfterFunc(downTime, func() {
		s.ledger.RecordRestart(r.ID)
		s.takeIn(runner.StartAt(c, r.Proxy, s.store, s.ledger))
	})
	return r.ID, c.Release, nil
}

// cutStreams puts a random engine into the mode in which it cuts a share of its streams.
func cutStreams(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.pickRunner(random)
	for range maxEngineDraws {
		if r.Pool == "engines" {
			break
		}
		r = s.pickRunner(random)
	}
	r.SetMode(runner.Cutting)
	return r.ID, runner.Cutting.String(), func() { r.SetMode(runner.Healthy) }
}
