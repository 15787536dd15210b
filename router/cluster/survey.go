package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
)

const (
	// surveyStep is the time between two looks whether the router knows enough
	// to ask: the store is read in some tens of milliseconds.
	surveyStep = 20 * time.Millisecond
	// surveyEnd is how long after its start a router no longer asks: what engines
	// have is known from requests by then.
	surveyEnd = 3 * time.Second
	// surveyAgain is when what engines have is told once more: routers that start
	// together differ by some hundred milliseconds.
	surveyAgain = 600 * time.Millisecond
	// surveyTimeout bounds the question to one engine.
	surveyTimeout = time.Second
)

// survey asks engines what they have in their caches.
func (r *Router) survey(ctx context.Context) {
	begun := time.Now()
	engines, known := r.fleet.Survey(begun)
	for !known && ctx.Err() == nil && time.Since(begun) < surveyEnd {
		worker.Sleep(ctx, surveyStep)
		engines, known = r.fleet.Survey(time.Now())
	}
	lists := make(map[core.UpstreamID][]prefix.Part, len(engines))
	for _, u := range engines {
		asking, cancel := context.WithTimeout(ctx, surveyTimeout)
		parts, err := r.adapter.Cache(asking, u.Address)
		cancel()
		r.log.Info("cache_inventory_fetched", zap.String("upstream", string(u.ID)), zap.Int("parts", len(parts)), logs.Err(err))
		if err == nil {
			lists[u.ID] = parts
			r.fleet.Surveyed(time.Now(), u.ID, parts)
		}
	}
	// Routers that start at the same time may not have heard it yet.
	worker.Sleep(ctx, surveyAgain)
	for id, parts := range lists {
		r.fleet.Surveyed(time.Now(), id, parts)
	}
}
