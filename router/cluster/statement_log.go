package cluster

import (
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// logStatementChanges logs what upstreams say about themselves as another router has
// reported it.
func logStatementChanges(log *zap.Logger, sender core.RouterID, changes []fleet.StatementChange) {
	for _, c := range changes {
		if c.BeganLeaving {
			log.Info("upstream_leaving", zap.String("upstream", string(c.Upstream)), zap.String("sender", string(sender)))
		}
		if c.BrittleChanged {
			log.Info("brittle_changed", zap.String("upstream", string(c.Upstream)), zap.String("rejections", c.Brittle.String()), zap.String("sender", string(sender)))
		}
		if c.LimitChanged {
			log.Info("limit_changed", zap.String("upstream", string(c.Upstream)), zap.String("limit", c.Limit.String()), zap.String("sender", string(sender)))
		}
	}
}
