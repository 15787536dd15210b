package cluster

import (
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// logStatementChanges logs the limits of upstreams that another router has reported.
func logStatementChanges(log *zap.Logger, sender core.RouterID, changes []fleet.StatementChange) {
	for _, c := range changes {
		log.Info("limit_changed", zap.String("upstream", string(c.Upstream)), zap.String("limit", c.Limit.String()), zap.String("sender", string(sender)))
	}
}
