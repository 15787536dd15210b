package relay

import (
	"time"

	"go.uber.org/zap"
)

// loadRefusedInterval is the shortest time between two log lines about refused figures of load
// reports: an upstream that states such a figure does so in each response.
const loadRefusedInterval = time.Second

// logLoadRefused logs that a figure of the load report in the response was refused, at most once
// in loadRefusedInterval.
func (a *attempt) logLoadRefused(now time.Time) {
	if a.headers.LoadRefused == "" {
		return
	}
	last := &a.forwarder.loadRefusedAt
	before := last.Load()
	if now.UnixNano()-before < int64(loadRefusedInterval) || !last.CompareAndSwap(before, now.UnixNano()) {
		return
	}
	a.forwarder.Log.Warn("load_figure_refused", zap.String("upstream", string(a.target.ID)), zap.String("report", a.headers.LoadRefused), zap.String("request", a.ID))
}
