package cluster

import (
	"strconv"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
)

// logPartChanges logs parts of prompts under which requests are refused from now on, or
// no longer are. Sender is the router that reported them; empty if they have expired.
func logPartChanges(log *zap.Logger, sender core.RouterID, changes []poison.Change) {
	for _, c := range changes {
		log.Warn("part_changed", zap.String("part", strconv.FormatUint(uint64(c.Part), 16)), zap.Bool("refused", c.Refused),
			zap.Int("strikes", c.Strikes), zap.String("sender", string(sender)))
	}
}
