package relay

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core/health"
	"camphorpulley.org/router/httpclient"
)

// Identity is how to ask an upstream which process answers. The zero value asks nothing.
type Identity struct {
	// URI is the path and query to request.
	URI string
	// Parse returns the start of the process from the body of a response, in milliseconds
	// since the Unix epoch.
	Parse func(body []byte) (startedMS int64, err error)
}

// maxIdentityBytes bounds the response in which an upstream tells which process it is.
const maxIdentityBytes = 256 << 10

// errOtherProcess means that the process that answers isn't known to be the one of the
// upstream's entry, which the stream may go on at.
var errOtherProcess = errors.New("another process may answer at the upstream's address")

// errUnclearIdentity means that an upstream either declines the question which process answers,
// or has sent a late copy of a refusal without an id.
var errUnclearIdentity = errors.New("the response may be one to an earlier request")

// checkIdentityHeader returns a *httpclient.MismatchedResponseError for the header of a response
// to a request, of which the connection may have carried some: a late copy may come in place of
// the upstream's identity. It returns errUnclearIdentity if nothing else may come.
func (a *attempt) checkIdentityHeader(reused bool, status int, h http.Header) error {
	r := a.forwarder.HeaderCodec.ParseResponse(status, h)
	switch {
	case r.RequestID == "" && (!reused || (!r.Signed && !r.NotRun)):
		return nil
	case r.RequestID == "" && r.NotRun:
		return errUnclearIdentity
	}
	a.skipped++
	return &httpclient.MismatchedResponseError{Got: r.RequestID}
}

// identify asks the upstream which process answers, if the stream depends on it, on the
// connection that the request then takes: it runs in that process or not at all. It returns an
// error if the request must not be sent there.
func (a *attempt) identify(c *httpclient.Conn) error {
	f := a.forwarder
	now := time.Now()
	if f.Identity.Parse == nil || a.helper != "" || !f.Fleet.DependsOnProcess(now, a.Request, a.target) {
		return nil
	}
	if !a.Origin.Begun && c.LeadsTo(a.target.StartedMS) {
		a.target.Certain, a.target.Identified = true, true
		return nil
	}
	a.questioned = true
	deadline := now.Add(a.ConnectTimeout(now))
	status, body, err := c.Fetch(a.ctx, httpclient.Request{
		Method: http.MethodGet, URI: f.Identity.URI, Host: a.target.Address, Deadline: deadline,
	}, httpclient.Wait{Until: deadline}, maxIdentityBytes, func(status int, h http.Header) error { return a.checkIdentityHeader(c.Reused(), status, h) })
	if errors.Is(err, errUnclearIdentity) {
		a.outcome = health.Unknown
		return err
	}
	if err != nil {
		a.outcome = a.contactOutcome(err)
		return err
	}
	var startedMS int64
	if status == http.StatusOK {
		startedMS, err = f.Identity.Parse(body)
	}
	known := status == http.StatusOK && err == nil
	a.target.Identified = known && f.Fleet.RecordIdentity(now, a.target, startedMS)
	if known {
		c.Identify(startedMS)
	}
	a.target.Certain = a.target.Identified
	f.Log.Info("process_identified", zap.String("request", a.ID), zap.String("upstream", string(a.target.ID)), zap.Int("status", status),
		zap.Int64("started", startedMS), zap.Int64("entry", a.target.StartedMS), zap.Bool("same", a.target.Identified), logs.Err(err))
	if a.Origin.Begun && !a.target.Certain {
		_ = c.Close()
		a.outcome = health.Unknown
		return errOtherProcess
	}
	return nil
}
