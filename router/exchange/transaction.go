package exchange

import (
	"context"
	"strconv"
	"time"

	"camphorpulley.org/base/logs"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/router/back"
)

// transaction is the state of one request: its attempts so far, the upstreams
// that failed it and the running attempt.
type transaction struct {
	forwarder *Forwarder
	call      *Call
	exchange  answer.Exchange
	avoid     []core.UpstreamID
	// only is the upstream that must serve the next attempt, if a stream is
	// resumed there.
	only    core.UpstreamID
	suspect bool
	// The fields below belong to the running attempt.
	id     int
	held   permit.Held
	target back.Target
	resp   *fasthttp.Response
	// from is the position of the last delivered event if the stream is resumed
	// after it, else zero.
	from int
}

// Forward sends the request to upstreams until one has responded. It returns
// once the whole body is read, if that is short, or the first event of an event
// stream, or else the head of the response. A response that breaks off before
// is retried where permitted.
func (f *Forwarder) Forward(ctx context.Context, c *Call) (*Response, *core.Refusal) {
	t := &transaction{forwarder: f, call: c}
	t.exchange.AtMostOnce = c.AtMostOnce
	t.exchange.Deterministic = c.Deterministic
	refusal := t.sendWithRetries(ctx, true)
	for refusal == nil {
		resp := &Response{tx: t}
		err := resp.readStart()
		if err == nil {
			resp.FirstByte = time.Since(c.StartedAt)
			return resp, nil
		}
		t.handleBrokenResponse(err)
		if !t.exchange.MayRetry() {
			return nil, t.exchange.Refusal(502, "upstream_failed", "the answer broke off")
		}
		refusal = t.sendWithRetries(ctx, false)
	}
	return nil, refusal
}

// sendWithRetries makes attempts until an upstream responds, and otherwise
// returns a refusal. Each attempt takes a retry from the retry budget; exempt
// is true if the first one does not.
func (t *transaction) sendWithRetries(ctx context.Context, exempt bool) *core.Refusal {
	for t.exchange.Attempts() < MaxAttempts {
		if !exempt && !t.forwarder.takeRetry() {
			return t.exchange.Refusal(503, "no_retry", "the attempt failed and too many requests are being retried")
		}
		if refusal := t.checkBeforeAttempt(time.Now()); refusal != nil {
			return refusal
		}
		held, refusal := t.acquirePermit(ctx)
		if refusal != nil {
			return t.refuseWithoutPermit(refusal)
		}
		answered, sent := t.attempt(held)
		if answered {
			return nil
		}
		if !t.exchange.MayRetry() {
			break
		}
		// An attempt that sent nothing put no load on upstreams, so the next
		// one needs no retry from the budget.
		exempt = !sent
	}
	return t.exchange.Refusal(503, "upstream_failed", "the upstream failed")
}

// checkBeforeAttempt refuses a request whose deadline has passed or that is
// refused because upstreams crashed while it was running.
func (t *transaction) checkBeforeAttempt(now time.Time) *core.Refusal {
	if !now.Before(t.call.Deadline) {
		return t.exchange.Refusal(504, "timeout", "the request ran out of time")
	}
	suspect, refused := t.forwarder.Node.SuspectStatus(now, t.call.ContentDigest)
	t.suspect = suspect
	if refused {
		return t.exchange.Refusal(422, "crashes_upstreams",
			"the request was running when upstreams crashed and is refused for a time")
	}
	return nil
}

// refuseWithoutPermit returns the refusal of a request that got no permit. If
// an earlier attempt was sent, the refusal states that the request may have
// run.
func (t *transaction) refuseWithoutPermit(r *core.Refusal) *core.Refusal {
	if t.exchange.Certainty() == core.NotRun {
		return r
	}
	return t.exchange.Refusal(r.Status, r.Code, r.Message)
}

// attempt sends the request to the upstream of a permit. Answered is true if
// the upstream responded and did not decline. Sent is false if no byte was
// handed to a connection.
func (t *transaction) attempt(held permit.Held) (answered, sent bool) {
	f := t.forwarder
	target, ok := f.Target(held.Upstream)
	t.id = t.exchange.StartAttempt(held.Upstream)
	if !ok {
		f.finishPermit(held, node.Unused, "")
		return false, false
	}
	if !f.checkPermit(held, target) {
		return false, false
	}
	t.held, t.target = held, target
	t.resp = fasthttp.AcquireResponse()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	t.buildRequest(req)
	f.Metrics.Attempt(t.call.Pool.Name)
	err := f.Back.Do(target, req, t.resp)
	if err == nil {
		err = t.checkRequestID()
	}
	if err == nil {
		return t.handleHead(), true
	}
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
	return false, t.handleFailure(err)
}

// checkPermit reports whether a request may be sent on a permit. It finishes a
// permit that may not be used; if the permit names another process of the
// upstream than is known here, a load report shows which one is present.
func (f *Forwarder) checkPermit(held permit.Held, target back.Target) bool {
	if !f.Permits {
		return true
	}
	switch f.Node.CheckPermit(time.Now(), held) {
	case node.Valid:
		return true
	case node.BootMismatch:
		load, err := back.FetchLoad(target)
		if err != nil {
			f.finishPermit(held, node.ConnectionRefused, "")
			return false
		}
		f.finishPermit(held, node.Responded, load.Boot)
	default:
		f.finishPermit(held, node.Unused, "")
	}
	return false
}

// buildRequest sets the method, URI, headers, body and timeout of the request
// to the upstream.
func (t *transaction) buildRequest(req *fasthttp.Request) {
	c := t.call
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + t.target.Address + c.URI)
	for _, h := range c.Header {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(headerRequest, c.ID)
	req.Header.Set(headerAttempt, strconv.Itoa(t.id))
	left := time.Until(c.Deadline)
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	if t.from > 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(t.from))
	}
	if c.AtMostOnce {
		// Each at-most-once request uses a connection of its own: an idle one
		// from the pool may close while the request is sent, and the outcome
		// would be unknown.
		req.SetConnectionClose()
	}
	if len(c.Body) > 0 {
		req.SetBodyRaw(c.Body)
	}
	req.SetTimeout(left)
}

// Names of headers between routers and upstreams.
const (
	headerRequest        = "X-Request-Id"
	headerAttempt        = "X-Attempt"
	headerTimeout        = "X-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-Id"
	headerOutcome        = "X-Outcome"
	headerEngineBoot     = "X-Engine-Boot"
)

// MismatchError reports a response that carries the id of another request.
type MismatchError struct {
	Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return "got response for request " + e.Got + ", want " + e.Want
}

// checkRequestID returns an error, and closes the response body, if the
// response carries the id of another request.
func (t *transaction) checkRequestID() error {
	got := string(t.resp.Header.Peek(headerRequest))
	if got == "" || got == t.call.ID {
		return nil
	}
	_ = t.resp.CloseBodyStream()
	return &back.BrokenError{Upstream: t.target.ID, Cause: &MismatchError{Want: t.call.ID, Got: got}}
}

// handleHead handles the head of a response. It reports false if the upstream
// declined the request, that is, stated that it did not run it.
func (t *transaction) handleHead() bool {
	t.exchange.SetPhase(t.id, answer.Sent)
	status := t.resp.StatusCode()
	declined := string(t.resp.Header.Peek(headerOutcome)) == core.NotRun.String()
	if !declined || (status != 503 && status != 429) {
		return true
	}
	t.exchange.SetPhase(t.id, answer.Declined)
	_ = t.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
	t.avoid = append(t.avoid, t.target.ID)
	t.forwarder.finishPermit(t.held, node.Responded, "")
	return false
}

// handleFailure finishes the permit of an attempt that got no response. It
// reports whether bytes were handed to a connection.
func (t *transaction) handleFailure(err error) bool {
	f := t.forwarder
	t.log("attempt_failed", err)
	var dial *back.DialError
	var mismatch *back.BootMismatchError
	switch {
	case errors.As(err, &mismatch):
		f.finishPermit(t.held, node.Responded, mismatch.Boot)
		return false
	case errors.As(err, &dial):
		t.avoid = append(t.avoid, t.target.ID)
		f.finishPermit(t.held, node.ConnectionRefused, "")
		return false
	}
	t.exchange.SetPhase(t.id, answer.Sent)
	t.exchange.SetPhase(t.id, answer.Failed)
	t.settleBroken()
	return true
}

// settleBroken finishes the permit of an attempt that broke after bytes were
// sent. It reads the upstream's load report to find out whether the process
// crashed; if so, the request becomes a suspect. It returns true only if the
// process that began the attempt is known to still run.
func (t *transaction) settleBroken() bool {
	f := t.forwarder
	t.avoid = append(t.avoid, t.target.ID)
	if !t.target.ReportsLoad || !f.Permits {
		f.finishPermitLater(t.held, node.Unused)
		return false
	}
	known, _ := f.Node.Upstream(t.target.ID)
	load, err := back.FetchLoad(t.target)
	if err == nil && load.Boot == known.State.Boot {
		f.finishPermitLater(t.held, node.Unused)
		return true
	}
	f.reportCrash(t, known.State.Boot)
	if err != nil {
		f.finishPermit(t.held, node.ConnectionRefused, "")
		return false
	}
	f.finishPermit(t.held, node.Responded, load.Boot)
	return false
}

// reportCrash records the request as a suspect: it was running when an upstream
// process crashed. It notifies the other routers and appends the suspect to the
// log.
func (f *Forwarder) reportCrash(t *transaction, boot string) {
	suspect := node.SuspectUpdate{Digest: t.call.ContentDigest, Process: string(t.target.ID) + "/" + boot}
	now := time.Now()
	f.Node.RecordSuspect(now, suspect)
	f.ApplyEffects(f.Node.BroadcastSuspect(now, suspect))
	f.AppendSuspect(suspect)
	f.Metrics.Crash(t.call.Pool.Name)
}

func (t *transaction) log(event string, err error) {
	t.forwarder.Log.Info(event,
		zap.String("request", t.call.ID), zap.Int("attempt", t.id),
		zap.Uint64("chat", uint64(t.call.AffinityKey)), zap.String("account", string(t.call.Account.Name)),
		zap.String("upstream", string(t.held.Upstream)), logs.Err(err))
}
