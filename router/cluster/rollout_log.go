package cluster

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
)

// logRolloutChange logs a change of a roll-out. Sender is the router that reported it; empty if
// this router has decided it or has read it in the store.
func logRolloutChange(log *zap.Logger, sender core.RouterID, c fleet.RolloutChange) {
	s := c.State
	fields := []zap.Field{
		zap.String("service", string(s.Order.Pool)), zap.String("target", s.Order.Target), zap.Uint64("order", s.Order.Offset), zap.String("sender", string(sender)),
	}
	if c.Withdrawn != "" {
		log.Info("rollout_ended", zap.String("service", string(s.Order.Pool)), zap.String("target", c.Withdrawn), zap.String("stage", rollout.RolledBack.String()),
			zap.String("reason", "another order has come"), zap.String("sender", string(sender)))
	}
	switch {
	case c.Repeated:
		log.Info("rollout_rejected", append(fields, zap.String("reason", "the order repeats the running one"))...)
		return
	case c.New && s.Order.Invalid != "":
		log.Warn("rollout_rejected", append(fields, zap.String("reason", s.Order.Invalid))...)
	case c.New:
		log.Info("rollout_started", append(fields, zap.Duration("duration", s.Order.Duration))...)
	}
	if s.Stage == rollout.None {
		return
	}
	name := "rollout_stage"
	if s.Stage.Final() {
		name = "rollout_ended"
	}
	v := c.Verdict
	log.Info(name, append(fields, zap.String("was", c.Was.String()), zap.String("stage", s.Stage.String()), zap.String("reason", s.Reason),
		zap.Duration("age", time.Duration(s.AgeMS)*time.Millisecond), zap.Int("old_answers", v.OldAnswers), zap.Int("old_bad", v.OldBad),
		zap.Int("new_answers", v.NewAnswers), zap.Int("new_bad", v.NewBad))...)
}
