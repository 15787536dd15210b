package relay

import (
	"time"

	"camphorpulley.org/core/health"
)

// recordRun records how an attempt at an upstream has gone: its run time, the size of the answer,
// and what went to another data centre.
func (a *attempt) recordRun(now time.Time) {
	f := a.forwarder
	if a.outcome == health.Good {
		f.tellPaces(f.Fleet.RecordRun(now, a.target, a.headers.Load))
		f.Fleet.RecordAnswerBytes(a.target, a.answerBytes)
	}
	if why := f.Fleet.Crosses(a.target); why != "" && a.sent {
		f.Metrics.Crossed(a.Pool.Name, why, len(a.Body)+a.answerBytes)
	}
}
