package relay

import (
	"time"

	"camphorpulley.org/core/health"
	"camphorpulley.org/router/httpclient"
)

// connect returns a connection to the target that has been idle for less than maxIdle; with zero, a
// new one.
func (a *attempt) connect(now time.Time, maxIdle time.Duration) (*httpclient.Conn, error) {
	c, err := a.forwarder.Conns.Get(a.ctx, now, a.target.Address, httpclient.Options{
		ConnectTimeout: a.ConnectTimeout(now), MaxIdle: maxIdle, RequestID: a.ID,
	})
	if err != nil {
		a.outcome = a.unlessCancelled(health.Unreachable)
		a.connectFailed = true
		return nil, err
	}
	if a.helper != "" {
		return c, nil
	}
	if c.AfterEarlyClose() {
		a.target.Broken = true
		a.forwarder.Fleet.RecordEarlyCloses(now, []string{a.target.Address})
	}
	if !c.Reused() {
		a.forwarder.Fleet.RecordConnect(time.Now(), a.target, time.Since(now))
	}
	return c, nil
}

const (
	// maxIdleAtMostOnce bounds how long a connection may have been idle before it
	// carries a request that runs at most once. If the upstream closed an idle
	// connection at that moment, the outcome of the request would be unknown.
	maxIdleAtMostOnce = 300 * time.Millisecond
	// maxIdleRepeatable is longer than httpclient.Pool keeps connections, and so
	// sets no further bound.
	maxIdleRepeatable = time.Minute
)

// maxIdle returns how long a connection for the request may have been idle.
func (a *attempt) maxIdle() time.Duration {
	if a.Route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleAtMostOnce
}
