package relay

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core/fleet"
)

// recordPace records the pace that the response states, and tells the other routers of it soon
// if they are to know. Another upstream has the address if the request was misdirected.
func (a *attempt) recordPace(now time.Time) {
	if a.headers.Load == nil || a.headers.Misdirected {
		return
	}
	a.forwarder.tellPaces(a.forwarder.Fleet.RecordPace(now, a.target, *a.headers.Load))
}

// tellPaces tells the other routers what this one has heard of hosts, after fleet.PaceBatch, if
// gathering has begun.
func (f *Forwarder) tellPaces(gathering bool) {
	if gathering {
		time.AfterFunc(fleet.PaceBatch, func() { f.notify(f.Fleet.TakeHostPaces(time.Now())) })
	}
}

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
