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

// try is one request on its way: its attempts, the permit in use and what has
// failed so far.
type try struct {
	server   *Server
	call     *Call
	exchange answer.Exchange
	avoid    []core.UpstreamID
	// only is the upstream at which a stream is resumed.
	only    core.UpstreamID
	suspect bool
	// Of the attempt that is running:
	id     int
	held   permit.Held
	target back.Target
	resp   *fasthttp.Response
	// from is the position after which a stream is resumed.
	from int
}

// Open sends a request until an upstream has answered it: with the whole body
// if that is short, or with the first event of a stream.
func (s *Server) Open(ctx context.Context, c *Call) (*Answer, *core.Refusal) {
	t := &try{server: s, call: c}
	t.exchange.Once = c.Once
	t.exchange.Same = c.Same
	refusal := t.next(ctx, true)
	for refusal == nil {
		a := &Answer{try: t}
		err := a.load()
		if err == nil {
			a.FirstByte = time.Since(c.Begun)
			return a, nil
		}
		t.brokenOff(err)
		if !t.exchange.MayRetry() {
			return nil, t.exchange.Refuse(502, "upstream_failed", "the answer broke off")
		}
		refusal = t.next(ctx, false)
	}
	return nil, refusal
}

// next makes attempts until one is answered. Free is set if the first of them
// does not count as a retry.
func (t *try) next(ctx context.Context, free bool) *core.Refusal {
	for t.exchange.Attempts() < MaxAttempts {
		if !free && !t.server.takeRetry() {
			return t.exchange.Refuse(503, "no_retry", "the attempt failed and too many requests are being retried")
		}
		if refusal := t.check(time.Now()); refusal != nil {
			return refusal
		}
		held, refusal := t.acquire(ctx)
		if refusal != nil {
			return t.unserved(refusal)
		}
		answered, sent := t.attempt(held)
		if answered {
			return nil
		}
		if !t.exchange.MayRetry() {
			break
		}
		// An attempt of which nothing was sent costs the upstreams nothing.
		free = !sent
	}
	return t.exchange.Refuse(503, "upstream_failed", "the upstream failed")
}

// check refuses a request that is out of time or that crashes upstreams.
func (t *try) check(now time.Time) *core.Refusal {
	if !now.Before(t.call.Deadline) {
		return t.exchange.Refuse(504, "timeout", "the request ran out of time")
	}
	suspect, refused := t.server.Node.Suspected(now, t.call.Content)
	t.suspect = suspect
	if refused {
		return t.exchange.Refuse(422, "crashes_upstreams",
			"the request was running when upstreams crashed and is refused for a time")
	}
	return nil
}

// unserved returns the refusal of a request for which there is no permit. One
// that was sent before may have run.
func (t *try) unserved(r *core.Refusal) *core.Refusal {
	if t.exchange.Certainty() == core.NotRun {
		return r
	}
	return t.exchange.Refuse(r.Status, r.Code, r.Message)
}

// attempt sends the request on a permit. Sent is false if no byte was handed
// to a connection.
func (t *try) attempt(held permit.Held) (answered, sent bool) {
	s := t.server
	target, ok := s.Target(held.Upstream)
	t.id = t.exchange.Start(held.Upstream)
	if !ok {
		s.finish(held, node.Unused, "")
		return false, false
	}
	if !s.valid(held, target) {
		return false, false
	}
	t.held, t.target = held, target
	t.resp = fasthttp.AcquireResponse()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	t.prepare(req)
	s.Metrics.Attempt(t.call.Pool.Name)
	err := s.Back.Do(target, req, t.resp)
	if err == nil {
		err = t.checkCrossed()
	}
	if err == nil {
		return t.answered(), true
	}
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
	return false, t.failed(err)
}

// valid reports whether a request may be sent on a permit, and ends the permit
// if not.
func (s *Server) valid(held permit.Held, target back.Target) bool {
	if !s.Permits {
		return true
	}
	switch s.Node.Check(time.Now(), held) {
	case node.Valid:
		return true
	case node.Doubtful:
		load, err := back.FetchLoad(target)
		if err != nil {
			s.finish(held, node.Refused, "")
			return false
		}
		s.finish(held, node.Answered, load.Boot)
	default:
		s.finish(held, node.Unused, "")
	}
	return false
}

// prepare writes the request for the upstream.
func (t *try) prepare(req *fasthttp.Request) {
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
	if c.OnceKey != "" {
		req.Header.Set(headerOnce, c.OnceKey)
	}
	if t.from > 0 {
		req.Header.Set(headerLast, strconv.Itoa(t.from))
	}
	if c.Once {
		// An order goes over a connection of its own: one that was left open
		// may break for reasons of its own, and the outcome would be unknown.
		req.SetConnectionClose()
	}
	if len(c.Body) > 0 {
		req.SetBodyRaw(c.Body)
	}
	req.SetTimeout(left)
}

// Names of headers between routers and upstreams.
const (
	headerRequest = "X-Request-Id"
	headerAttempt = "X-Attempt"
	headerTimeout = "X-Timeout-Ms"
	headerOnce    = "Idempotency-Key"
	headerLast    = "Last-Event-Id"
	headerOutcome = "X-Outcome"
	headerBoot    = "X-Engine-Boot"
)

// CrossedError reports an answer that belongs to another request.
type CrossedError struct {
	Want, Got string
}

// Error implements error.
func (e *CrossedError) Error() string {
	return "answer for request " + e.Got + " in place of " + e.Want
}

// checkCrossed closes an answer that names another request.
func (t *try) checkCrossed() error {
	got := string(t.resp.Header.Peek(headerRequest))
	if got == "" || got == t.call.ID {
		return nil
	}
	_ = t.resp.CloseBodyStream()
	return &back.BrokenError{Upstream: t.target.ID, Cause: &CrossedError{Want: t.call.ID, Got: got}}
}

// answered decides on the head of an answer. It reports false if the upstream
// says that it did not run the request.
func (t *try) answered() bool {
	t.exchange.Mark(t.id, answer.Handed)
	status := t.resp.StatusCode()
	declined := string(t.resp.Header.Peek(headerOutcome)) == core.NotRun.String()
	if !declined || (status != 503 && status != 429) {
		return true
	}
	t.exchange.Mark(t.id, answer.Declined)
	_ = t.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
	t.avoid = append(t.avoid, t.target.ID)
	t.server.finish(t.held, node.Answered, "")
	return false
}

// failed takes in how an attempt failed. It reports whether bytes were handed
// to a connection.
func (t *try) failed(err error) bool {
	s := t.server
	t.log("attempt_failed", err)
	var dial *back.DialError
	var boot *back.BootMismatchError
	switch {
	case errors.As(err, &boot):
		s.finish(t.held, node.Answered, boot.Boot)
		return false
	case errors.As(err, &dial):
		t.avoid = append(t.avoid, t.target.ID)
		s.finish(t.held, node.Refused, "")
		return false
	}
	t.exchange.Mark(t.id, answer.Handed)
	t.exchange.Mark(t.id, answer.Broken)
	t.broke()
	return true
}

// broke ends the permit of a broken attempt and finds out whether the upstream
// has crashed. It reports whether the process that began the attempt lives.
func (t *try) broke() bool {
	s := t.server
	t.avoid = append(t.avoid, t.target.ID)
	if !t.target.ReportsLoad || !s.Permits {
		s.finishLater(t.held, node.Unused)
		return false
	}
	known, _ := s.Node.Upstream(t.target.ID)
	load, err := back.FetchLoad(t.target)
	if err == nil && load.Boot == known.State.Boot {
		s.finishLater(t.held, node.Unused)
		return true
	}
	s.crashed(t, known.State.Boot)
	if err != nil {
		s.finish(t.held, node.Refused, "")
		return false
	}
	s.finish(t.held, node.Answered, load.Boot)
	return false
}

// crashed makes the request a suspect.
func (s *Server) crashed(t *try, boot string) {
	suspect := node.Suspect{Digest: t.call.Content, Process: string(t.target.ID) + "/" + boot}
	now := time.Now()
	s.Node.Suspect(now, suspect)
	s.Carry(s.Node.Tell(now, suspect))
	s.Suspects(suspect)
	s.Metrics.Crash(t.call.Pool.Name)
}

func (t *try) log(event string, err error) {
	t.server.Log.Info(event,
		zap.String("request", t.call.ID), zap.Int("attempt", t.id),
		zap.Uint64("chat", uint64(t.call.Key)), zap.String("account", string(t.call.Account.Name)),
		zap.String("upstream", string(t.held.Upstream)), logs.Err(err))
}
