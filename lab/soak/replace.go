package main

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
)

const (
	// maxReplaceGroup is the largest number of routers that are replaced at once, and
	// replaceGap the time between two groups.
	maxReplaceGroup = 2
	replaceGap      = 600 * time.Millisecond
)

// drawBuilds gives each router one of the two executables.
func (s *soak) drawBuilds(random *rand.Rand) {
	for _, r := range s.routers {
		r.program = s.program
		if random.IntN(2) == 0 {
			r.program = s.previous
		}
	}
}

// replaceRouters replaces each router by one of the other build halfway through the faults, in
// groups and in random order. Afterwards one router is rolled back and replaced again.
func (s *soak) replaceRouters(ctx context.Context, random *rand.Rand) {
	sleep(ctx, s.faultTime/2)
	order := random.Perm(len(s.routers))
	for len(order) > 0 {
		group := order[:min(1+random.IntN(maxReplaceGroup), len(order))]
		order = order[len(group):]
		for _, i := range group {
			s.replaceRouter(ctx, s.routers[i])
		}
		sleep(ctx, replaceGap)
	}
	r := s.routers[random.IntN(len(s.routers))]
	for range 2 {
		s.replaceRouter(ctx, r)
		sleep(ctx, replaceGap+restartTime)
	}
}

// replaceRouter stops a router as planned work. It starts again as the other build.
func (s *soak) replaceRouter(ctx context.Context, r *router) {
	program := s.program
	r.mu.Lock()
	if r.program == program {
		program = s.previous
	}
	r.program = program
	r.mu.Unlock()
	recordEnd := s.ledger.BeginFault(time.Now(), ledger.Fault{Component: r.id, Planned: true})
	s.log.Info("router_replaced", zap.String("router", r.id), zap.String("program", program))
	s.sendSignal(r, syscall.SIGTERM)
	s.wg.Go(func() {
		sleep(ctx, restartTime)
		recordEnd(time.Now())
	})
}
