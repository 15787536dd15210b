package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core/fleet"
)

const (
	// surveyDelay is how long after its start a router waits for others to tell
	// what engines have: two beats.
	surveyDelay = 500 * time.Millisecond
	// surveyTimeout bounds the question to one engine.
	surveyTimeout = time.Second
)

// survey asks engines what they have in their caches, if nobody knows.
func (r *Router) survey(ctx context.Context) {
	worker.Sleep(ctx, surveyDelay)
	for ctx.Err() == nil && r.fleet.Ready(time.Now()) != fleet.Serving {
		worker.Sleep(ctx, surveyDelay)
	}
	for _, u := range r.fleet.Survey(time.Now()) {
		asking, cancel := context.WithTimeout(ctx, surveyTimeout)
		parts, err := r.adapter.Cache(asking, u.Address)
		cancel()
		r.log.Info("cache_surveyed", zap.String("upstream", string(u.ID)), zap.Int("parts", len(parts)), logs.Err(err))
		if err == nil {
			r.fleet.Surveyed(time.Now(), u.ID, parts)
		}
	}
}
