package cluster

import (
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// logLimitChanges logs the limits of upstreams that another router has reported.
func logLimitChanges(log *zap.Logger, sender core.RouterID, changes []fleet.LimitChange) {
	for _, c := range changes {
		log.Info("limit_changed", zap.String("upstream", string(c.Upstream)), zap.String("limit", c.Limit.String()), zap.String("sender", string(sender)))
	}
}
