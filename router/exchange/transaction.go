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
	"camphorpulley.org/router/backend"
)

// callState is the state of a call over all its attempts.
type callState struct {
	forwarder *Forwarder
	call      *Call
	exchange  answer.Exchange
	// avoid lists the upstreams that failed or declined the request.
	avoid []core.UpstreamID
	// only is the upstream that must serve the next attempt, if a stream is
	// resumed there.
	only core.UpstreamID
	// suspect is true if an upstream has crashed while it ran the request.
	suspect bool
	// The fields below belong to the running attempt.
	id     int
	held   permit.Held
	target backend.Target
	resp   *fasthttp.Response
	// resumeAfter is the position of the last delivered event if the stream is
	// resumed after it, else zero.
	resumeAfter int
}

// Forward sends the request to upstreams until one has responded. It returns
// when the first event of an event stream, the whole of a short body, or the
// head of another response has been read. A response that breaks off before
// that point is retried where permitted.
func (f *Forwarder) Forward(ctx context.Context, c *Call) (*Response, *core.Refusal) {
	s := &callState{forwarder: f, call: c}
	s.exchange.AtMostOnce = c.AtMostOnce
	s.exchange.Deterministic = c.Deterministic
	refusal := s.sendWithRetries(ctx, true)
	for refusal == nil {
		resp := &Response{state: s}
		err := resp.readStart()
		if err == nil {
			resp.StartLatency = time.Since(c.StartedAt)
			return resp, nil
		}
		s.handleBrokenResponse(err)
		if !s.exchange.MayRetry() {
			return nil, s.exchange.Refusal(502, "upstream_failed", "the answer broke off")
		}
		refusal = s.sendWithRetries(ctx, false)
	}
	return nil, refusal
}

// sendWithRetries makes attempts until an upstream responds, and otherwise
// returns a refusal. An attempt takes a retry from the retry budget, unless the
// one before it sent nothing. Exempt is true if the first attempt takes none.
func (s *callState) sendWithRetries(ctx context.Context, exempt bool) *core.Refusal {
	for s.exchange.Attempts() < MaxAttempts {
		if !exempt && !s.forwarder.takeRetry() {
			return s.exchange.Refusal(503, "no_retry", "the attempt failed and too many requests are being retried")
		}
		if refusal := s.checkBeforeAttempt(time.Now()); refusal != nil {
			return refusal
		}
		held, refusal := s.acquirePermit(ctx)
		if refusal != nil {
			return s.refuseWithoutPermit(refusal)
		}
		answered, sent := s.attempt(held)
		if answered {
			return nil
		}
		if !s.exchange.MayRetry() {
			break
		}
		// An attempt that sent nothing put no load on upstreams, so the next
		// one needs no retry from the budget.
		exempt = !sent
	}
	return s.exchange.Refusal(503, "upstream_failed", "the upstream failed")
}

// checkBeforeAttempt refuses a request whose deadline has passed or that is
// refused because upstreams crashed while it was running.
func (s *callState) checkBeforeAttempt(now time.Time) *core.Refusal {
	if !now.Before(s.call.Deadline) {
		return s.exchange.Refusal(504, "timeout", "the request ran out of time")
	}
	suspect, refused := s.forwarder.Node.SuspectStatus(now, s.call.ContentDigest)
	s.suspect = suspect
	if refused {
		return s.exchange.Refusal(422, "crashes_upstreams",
			"the request was running when upstreams crashed and is refused for a time")
	}
	return nil
}

// refuseWithoutPermit returns the refusal of a request that got no permit. If
// an earlier attempt was sent, the refusal states that the request may have
// run.
func (s *callState) refuseWithoutPermit(r *core.Refusal) *core.Refusal {
	if s.exchange.Certainty() == core.NotRun {
		return r
	}
	return s.exchange.Refusal(r.Status, r.Code, r.Message)
}

// attempt sends the request to the upstream of a permit. Answered is true if
// the upstream responded and did not decline. Sent is false if no byte was
// handed to a connection.
func (s *callState) attempt(held permit.Held) (answered, sent bool) {
	f := s.forwarder
	target, ok := f.Target(held.Upstream)
	s.id = s.exchange.StartAttempt(held.Upstream)
	if !ok || !time.Now().Before(s.call.Deadline) {
		f.finishPermit(held, node.Unused, "")
		return false, false
	}
	if !f.checkPermit(held, target) {
		return false, false
	}
	s.held, s.target = held, target
	// An idle connection from the pool may close while the request is sent, and the
	// outcome would be unknown. On a connection of its own, a response without an id, or
	// with one that other requests have too, is certainly its own.
	s.target.OwnConnection = s.call.AtMostOnce || s.call.IDGiven || s.id > 1
	s.resp = fasthttp.AcquireResponse()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.buildRequest(req)
	f.Metrics.AttemptStarted(s.call.Pool.Name)
	err := f.Back.Do(s.target, req, s.resp)
	if err == nil {
		return s.handleHead(), true
	}
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
	return false, s.handleFailure(err)
}

// checkPermit reports whether a request may be sent on a permit. It finishes one
// that may not be used. If the permit names another process of the upstream than
// the known one, it also reads a load report to learn the present one.
func (f *Forwarder) checkPermit(held permit.Held, target backend.Target) bool {
	if !f.Permits {
		return true
	}
	switch f.Node.CheckPermit(time.Now(), held) {
	case node.Valid:
		return true
	case node.BootMismatch:
		load, err := backend.FetchLoad(target)
		if err != nil {
			f.finishPermit(held, node.ConnectFailed, "")
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
func (s *callState) buildRequest(req *fasthttp.Request) {
	c := s.call
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + s.target.Address + c.URI)
	for _, h := range c.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(headerRequest, c.ID)
	req.Header.Set(headerAttempt, strconv.Itoa(s.id))
	// The library takes a timeout of zero or less for none.
	left := max(time.Until(c.Deadline), time.Millisecond)
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	if s.resumeAfter > 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(s.resumeAfter))
	}
	if len(c.Body) > 0 {
		req.SetBodyRaw(c.Body)
	}
	req.SetTimeout(left)
}

// Names of headers between routers and upstreams.
const (
	headerRequest        = backend.HeaderRequest
	headerAttempt        = "X-Attempt"
	headerTimeout        = "X-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-Id"
	headerOutcome        = "X-Outcome"
	headerEngineBoot     = "X-Engine-Boot"
)

// handleHead handles the head of a response. It reports false if the upstream
// declined the request: with status 503 or 429 and the outcome "not_run".
func (s *callState) handleHead() bool {
	s.exchange.SetPhase(s.id, answer.Sent)
	status := s.resp.StatusCode()
	declined := string(s.resp.Header.Peek(headerOutcome)) == core.NotRun.String()
	if !declined || (status != 503 && status != 429) {
		return true
	}
	s.exchange.SetPhase(s.id, answer.Declined)
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
	s.avoid = append(s.avoid, s.target.ID)
	s.forwarder.finishPermit(s.held, node.Responded, "")
	return false
}

// handleFailure finishes the permit of an attempt that got no response of its
// own. It reports whether bytes were handed to a connection.
func (s *callState) handleFailure(err error) bool {
	f := s.forwarder
	s.log("attempt_failed", err)
	var dial *backend.DialError
	var mismatch *backend.BootMismatchError
	switch {
	case errors.As(err, &mismatch):
		f.finishPermit(s.held, node.Responded, mismatch.Boot)
		return false
	case errors.As(err, &dial):
		s.avoid = append(s.avoid, s.target.ID)
		f.finishPermit(s.held, node.ConnectFailed, "")
		return false
	}
	s.exchange.SetPhase(s.id, answer.Sent)
	s.exchange.SetPhase(s.id, answer.Failed)
	s.finishBroken()
	return true
}

// finishBroken finishes the permit of an attempt that broke after bytes were
// sent. It reads the upstream's load report to find out whether the process
// crashed; if so, the request becomes a suspect. It returns true only if the
// report names the process that is known here.
func (s *callState) finishBroken() bool {
	f := s.forwarder
	s.avoid = append(s.avoid, s.target.ID)
	if !s.target.ReportsLoad || !f.Permits {
		f.finishPermitLater(s.held, node.Unused)
		return false
	}
	known, _ := f.Node.Upstream(s.target.ID)
	load, err := backend.FetchLoad(s.target)
	if err == nil && load.Boot == known.State.Boot {
		f.finishPermitLater(s.held, node.Unused)
		return true
	}
	f.reportCrash(s, known.State.Boot)
	if err != nil {
		f.finishPermit(s.held, node.ConnectFailed, "")
		return false
	}
	f.finishPermit(s.held, node.Responded, load.Boot)
	return false
}

// reportCrash records the request as a suspect: it was running when an upstream
// process crashed. It notifies the other routers and appends the suspect to the
// log.
func (f *Forwarder) reportCrash(s *callState, boot string) {
	suspect := node.SuspectUpdate{Digest: s.call.ContentDigest, Process: string(s.target.ID) + "/" + boot}
	now := time.Now()
	f.Node.RecordSuspect(now, suspect)
	f.ApplyEffects(f.Node.BroadcastSuspect(now, suspect))
	f.AppendSuspect(suspect)
	f.Metrics.CrashSuspect(s.call.Pool.Name)
}

func (s *callState) log(event string, err error) {
	s.forwarder.Log.Info(event,
		zap.String("request", s.call.ID), zap.Int("attempt", s.id),
		zap.Uint64("chat", uint64(s.call.AffinityKey)), zap.String("account", string(s.call.Account.Name)),
		zap.String("upstream", string(s.held.Upstream)), logs.Err(err))
}
