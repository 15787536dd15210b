package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/runner"
)

const (
	// rolloutEvery selects the seeds with a roll-out: its multiples. Routers of an earlier build
	// may not know the settings.
	rolloutEvery = 2
	// rolloutDuration is the duration of an order, rolloutRelease its target.
	rolloutDuration = 12 * time.Second
	rolloutRelease  = "v3"
	// badDelay is the part of the duration within which a bad release turns bad.
	badDelay = 0.3
	// statusInterval is the time between two looks at the status.
	statusInterval = 20 * time.Millisecond
	// statusGrace is the time after the deadline until which the status of a roll-out beside
	// faults must be final: all routers may have been killed, and begin anew.
	statusGrace = 2 * rolloutDuration
	// rollbackDrain is the time after a roll-back until the new runners drain.
	rollbackDrain = 2 * time.Second
)

// rollOut orders a pool to be moved to a new release, good or bad, starts runners of it beside
// the old ones, and does what the platform does at the end.
func (s *soak) rollOut(ctx context.Context, random *rand.Rand) {
	if !s.rollouts {
		return
	}
	pool := []string{"engines", "apps-a"}[random.IntN(2)]
	bad := []runner.Mode{runner.Healthy, runner.Healthy, runner.Failing, runner.Slow}[random.IntN(4)]
	delay := time.Duration(random.IntN(2)) * time.Duration(random.Float64()*badDelay*float64(rolloutDuration))
	sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
	began := time.Now()
	o := ledger.Rollout{Pool: pool, Target: rolloutRelease, Bad: bad != runner.Healthy, OrderedAt: began, Duration: rolloutDuration}
	s.mu.Lock()
	s.trialRelease = rolloutRelease
	s.mu.Unlock()
	s.ledger.BeginRollout(o)
	s.log.Info("rollout", zap.String("pool", pool), zap.String("mode", bad.String()), zap.Duration("from", delay))
	s.store.Put("keyed.op", "rollout/"+pool, fmt.Appendf(nil, `{"service":%q,"target":%q,"duration_s":%g}`, pool, rolloutRelease, rolloutDuration.Seconds()))
	s.startRelease(pool, bad, began.Add(delay))
	state := s.awaitStatus(ctx, o)
	s.mu.Lock()
	s.trialRelease = ""
	s.mu.Unlock()
	s.endRollOut(ctx, o, state)
}

// startRelease starts as many runners of the new release as the pool has.
func (s *soak) startRelease(pool string, bad runner.Mode, badAt time.Time) {
	for _, old := range s.runnersOf(pool, false) {
		c := old.Config
		c.ID, c.ColdTime, c.Release, c.Bad, c.BadAt = runnerID(s.countRunner()), 0, rolloutRelease, bad, badAt
		s.takeIn(runner.Start(c, s.store, s.ledger))
	}
}

// runnersOf returns the runners in service of a pool that run the new release, or others.
func (s *soak) runnersOf(pool string, isNew bool) []*runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*runner.Runner
	for _, r := range s.runners {
		if r.Pool == pool && (r.Release == rolloutRelease) == isNew {
			all = append(all, r)
		}
	}
	return all
}

// awaitStatus waits for the final state of a roll-out and checks its time.
func (s *soak) awaitStatus(ctx context.Context, o ledger.Rollout) string {
	for ctx.Err() == nil {
		state, now := s.rolloutState(o), time.Now()
		calm := s.ledger.NoUnplannedFault(o.OrderedAt, now)
		if state == "completed" || state == "rolled_back" {
			return state
		}
		if late := now.Sub(o.OrderedAt.Add(o.Duration)); late > statusGrace || (calm && late > 5*statusInterval) {
			s.ledger.RecordViolation(now, "rollout", "the roll-out in %s is %q %s after its deadline, want a final state", o.Pool, state, late)
			return state
		}
		sleep(ctx, statusInterval)
	}
	return ""
}

// rolloutState returns the state of the newest status, and checks that none follows a final one.
func (s *soak) rolloutState(o ledger.Rollout) string {
	state := ""
	for _, value := range s.store.Values("keyed.status", "rollout/"+o.Pool) {
		var status struct{ State, Target, Service string }
		err := json.Unmarshal(value, &status)
		final := state == "completed" || state == "rolled_back"
		if err != nil || status.Target != o.Target || status.Service != o.Pool || (final && status.State != state) {
			s.ledger.RecordViolation(time.Now(), "rollout", "status %s after state %q, want one of service %s and target %s, and none that replaces a final one", value, state, o.Pool, o.Target)
		}
		state = status.State
	}
	return state
}

// endRollOut checks the final state. It stops the old runners at once if the new release is in
// force, and else drains the new ones.
func (s *soak) endRollOut(ctx context.Context, o ledger.Rollout, state string) {
	now := time.Now()
	calm := s.ledger.NoUnplannedFault(o.OrderedAt, now)
	s.ledger.CountEvent("rollout_" + state)
	exposed, most := s.ledger.Exposed()
	s.log.Info("rollout_ended", zap.String("state", state), zap.Bool("bad", o.Bad), zap.Duration("took", now.Sub(o.OrderedAt)), zap.Int("exposed", exposed), zap.Float64("most", most))
	if (state == "completed") == o.Bad && (o.Bad || calm) && state != "" {
		s.ledger.RecordViolation(now, "rollout", "a release that is bad: %t, is %s in %s", o.Bad, state, o.Pool)
	}
	withdrawn := s.runnersOf(o.Pool, state != "completed")
	s.takeOut(withdrawn)
	if state == "completed" {
		running := int64(0)
		for _, r := range withdrawn {
			running += r.Running()
			r.Stop()
		}
		if running > 0 && calm {
			s.ledger.RecordViolation(now, "rollout", "%d requests run at old runners of %s at its completion, want none", running, o.Pool)
		}
		return
	}
	sleep(ctx, rollbackDrain)
	for _, r := range withdrawn {
		r.Drain()
		time.AfterFunc(ledger.DrainLimit+stopDelay, r.Stop)
	}
}

// takeOut removes runners from those in service. If the new ones stay, the pool has their
// release from now on.
func (s *soak) takeOut(withdrawn []*runner.Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := map[*runner.Runner]bool{}
	for _, r := range withdrawn {
		gone[r] = true
		if r.Release != rolloutRelease {
			s.poolRelease = map[string]string{r.Pool: rolloutRelease}
		}
	}
	kept := s.runners[:0:0]
	for _, r := range s.runners {
		if !gone[r] {
			kept = append(kept, r)
		}
	}
	s.runners = kept
}
