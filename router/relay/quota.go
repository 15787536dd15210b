package relay

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// quotaTimeout is how long a request waits for the response of the router that grants
// requests to a limited upstream: several round trips between data centres of a region.
const quotaTimeout = 60 * time.Millisecond

// awaitQuota asks for quota of a limited upstream and waits for a response, at most for
// quotaTimeout or until the caller disconnects.
func (s *callState) awaitQuota(target fleet.Target) {
	f := s.forwarder
	s.Asks++
	responded := f.quotaWaiters.wait(target.ID)
	if f.Send != nil {
		f.Send(*target.Ask)
	}
	timeout := time.NewTimer(quotaTimeout)
	defer timeout.Stop()
	select {
	case <-responded:
	case <-s.ctx.Done():
	case <-timeout.C:
		f.Fleet.RecordQuotaSilence(time.Now(), target.ID, target.Ask.To)
		f.Log.Info("quota_silence", zap.String("request", s.ID), zap.String("upstream", string(target.ID)), zap.String("allotter", string(target.Ask.To)))
	}
}

// QuotaResponded ends the wait of the requests that have asked for quota of an upstream.
func (f *Forwarder) QuotaResponded(id core.UpstreamID) { f.quotaWaiters.wake(id) }

// recordStatement records what the upstream says about itself in the header of its
// response. Another upstream has the address if the request was misdirected.
func (a *attempt) recordStatement() {
	if a.headers.Misdirected {
		return
	}
	f := a.forwarder
	e := f.Fleet.RecordStatement(time.Now(), a.target, a.headers.Says)
	f.notify(e.Notify)
	for _, c := range e.Changes {
		if c.BeganLeaving {
			f.Log.Info("upstream_leaving", zap.String("upstream", string(c.Upstream)), zap.String("request", a.ID))
		}
		if c.BrittleChanged {
			f.Log.Info("brittle_changed", zap.String("upstream", string(c.Upstream)), zap.String("rejections", c.Brittle.String()), zap.String("request", a.ID))
		}
		if c.LimitChanged {
			f.Log.Info("limit_changed", zap.String("upstream", string(c.Upstream)), zap.String("limit", c.Limit.String()), zap.String("request", a.ID))
		}
	}
}
