package relay

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// checkParts returns the refusal of the call if a part of its prompt crashes upstreams.
// A call that tests such a part isn't checked again until it has run.
func (s *callState) checkParts(now time.Time) *core.Refusal {
	if s.probe && s.exchange.Certainty() == core.NotRun {
		return nil
	}
	probe, refusal, effects := s.forwarder.Fleet.CheckParts(now, s.Request)
	if s.probe = probe; probe {
		s.forwarder.Log.Info("part_tested", zap.String("request", s.ID), zap.Strings("parts", partNames(s.SharedParts)))
	}
	s.forwarder.applyPartEffects(s.ID, effects)
	return refusal
}

// applyPartEffects sends and logs the effects of an observation on the parts of a
// request's prompt.
func (f *Forwarder) applyPartEffects(request string, e fleet.PartEffects) {
	f.notify(e.Notify)
	for _, c := range e.Changes {
		f.Log.Warn("part_changed", zap.String("part", strconv.FormatUint(uint64(c.Part), 16)), zap.Bool("refused", c.Refused),
			zap.Int("strikes", c.Strikes), zap.String("request", request))
	}
}
