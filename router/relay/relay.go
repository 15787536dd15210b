package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/router/conn"
)

// Server carries requests to upstreams.
type Server struct {
	Fleet   *fleet.Fleet
	Dialect Dialect
	Log     *zap.Logger
	Pool    *conn.Pool
	Count   Counter
}

// Counter counts what happens to requests.
type Counter interface {
	Ended(pool core.Pool, outcome string)
}

// BrokenError reports an answer that the caller has in part and that can't be
// completed.
type BrokenError struct {
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string { return "the answer broke off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// task is a request on its way.
type task struct {
	*Call
	server   *Server
	ctx      context.Context
	out      Caller
	exchange answer.Exchange
	sequence answer.Sequence
	tried    []core.UpstreamID
	// runs is how many attempts may have run.
	runs int
	// begun is set once the caller has the head of the answer.
	begun bool
	// near is set once an upstream couldn't be reached: a cut is then likely.
	near bool
	// failure is the upstream's own failure that is passed on if no further
	// attempt is made.
	failure *failure
}

// failure is a failure that an upstream answered.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// Serve serves a request. The error is a *core.Refusal if the caller has
// nothing yet, and a *BrokenError if it has a part of an answer.
func (s *Server) Serve(ctx context.Context, c *Call, out Caller) error {
	t := &task{Call: c, server: s, ctx: ctx, out: out, exchange: c.Begin()}
	t.sequence = answer.Sequence{Last: c.After, Known: c.HasAfter}
	for {
		now := time.Now()
		target, refusal := t.choose(now)
		if refusal != nil {
			return t.giveUp(now, refusal)
		}
		sent, err := t.attempt(target)
		if err == nil {
			return nil
		}
		t.tried = append(t.tried, target.ID)
		now = time.Now()
		if ctx.Err() != nil || !s.Fleet.Again(now, c.Request, &t.exchange, sent, t.runs) {
			return t.giveUp(now, s.Fleet.Refuse(now, c.Request, &t.exchange, err.Error()))
		}
	}
}

// choose returns the next target. Once all upstreams were tried, those of
// which the attempts left nothing behind may be tried again.
func (t *task) choose(now time.Time) (fleet.Target, *core.Refusal) {
	switch {
	case t.Pool.Engine == nil:
		return fleet.Choose(now, t.server.Fleet, fleet.Spread{}, t.Request, t.tried)
	case t.Route.Repeatable() && !t.near:
		return fleet.Choose(now, t.server.Fleet, fleet.Affinity{}, t.Request, t.tried)
	default:
		return fleet.Choose(now, t.server.Fleet, fleet.Local{}, t.Request, t.tried)
	}
}

// giveUp ends a request that was not served.
func (t *task) giveUp(now time.Time, refusal *core.Refusal) error {
	t.server.Log.Warn("request_failed", zap.String("request", t.ID), zap.Int("status", refusal.Status),
		zap.String("certainty", refusal.Certainty.String()), zap.String("code", refusal.Code),
		zap.String("why", refusal.Message), zap.Int("attempts", t.exchange.Attempts()),
		zap.Duration("left", t.Until.Sub(now)), zap.Uint64("version", t.Version))
	if t.begun {
		return &BrokenError{Cause: refusal}
	}
	if f := t.failure; f != nil && refusal.Certainty != core.NotRun {
		t.out.Head(f.status, f.header, len(f.body))
		return t.out.Write(f.body)
	}
	return refusal
}

// attempt makes one attempt. It reports whether the upstream got the request,
// and an error if the caller doesn't have the whole answer.
func (t *task) attempt(target fleet.Target) (bool, error) {
	s := t.server
	id := t.exchange.Start(target.ID)
	started := time.Now()
	r := &run{task: t, target: target, id: id}
	err := r.do()
	now := time.Now()
	rest := s.Fleet.Finish(now, target, r.outcome, r.reply.Load)
	s.Count.Ended(t.Pool.Name, r.outcome.String())
	if r.outcome == health.Broken && r.sent {
		s.Fleet.Broke(now, t.Request, target)
	}
	if err == nil {
		s.Fleet.Cleared(t.Request)
	}
	s.Log.Info("attempt", zap.String("request", t.ID), zap.Int("attempt", id), zap.String("upstream", string(target.ID)),
		zap.String("outcome", r.outcome.String()), zap.Int("status", r.status), zap.Bool("sent", r.sent),
		zap.Duration("took", now.Sub(started)), zap.Int("load", target.Load), zap.Int("held", target.Held), zap.Int("prompt", target.Prompt),
		zap.String("fetch", target.Fetch), zap.Int("candidates", target.Candidates), zap.Bool("rests", rest), logs.Err(err))
	return r.sent, err
}

// run is one attempt of a request.
type run struct {
	*task
	target  fleet.Target
	id      int
	sent    bool
	status  int
	reply   Reply
	outcome health.Outcome
}

// do makes the attempt and sets its outcome.
func (r *run) do() error {
	now := time.Now()
	c, err := r.server.Pool.Get(r.ctx, now, r.target.Address, conn.Terms{Timeout: r.ConnectBy(now), Idle: r.idle()})
	if err != nil {
		r.outcome = r.unless(health.Unreachable)
		r.near = true
		return err
	}
	r.sent = true
	r.runs++
	r.exchange.Mark(r.id, answer.Handed)
	until := r.BeginBy(now, r.target, r.runs)
	a, err := c.Do(r.ctx, r.request(now), until, r.match)
	if err != nil {
		r.outcome = r.lost(err)
		return err
	}
	r.status = a.StatusCode
	if r.reply.NotRun || r.reply.Misdirected {
		return r.declined(a)
	}
	if r.Route.Kind == catalog.Stream && a.StatusCode == http.StatusOK {
		return r.stream(a)
	}
	return r.plain(a)
}

// onceIdle is how long a connection may have been idle for a request that runs
// at most once: an upstream that drops idle connections would leave its
// outcome unknown.
const onceIdle = 300 * time.Millisecond

func (r *run) idle() time.Duration {
	if r.Route.Repeatable() {
		return time.Minute
	}
	return onceIdle
}

func (r *run) request(now time.Time) conn.Request {
	return conn.Request{
		Method: r.Method, URI: r.URI, Host: r.Host, Body: r.Body, HasBody: r.HasBody,
		Header: r.server.Dialect.Outgoing(Attempt{
			Call: r.Call, Target: r.target, Left: r.Until.Sub(now),
			After: r.sequence.Last, HasAfter: r.sequence.Known,
		}),
	}
}

// match takes in the head of an answer.
func (r *run) match(status int, h http.Header) error {
	r.reply = r.server.Dialect.Reply(status, h)
	if r.reply.ID != "" && r.reply.ID != r.ID {
		return &conn.CrossedError{Want: r.ID, Got: r.reply.ID}
	}
	return nil
}

// unless returns an outcome, or Unknown if the caller left.
func (r *run) unless(o health.Outcome) health.Outcome {
	if r.ctx.Err() != nil {
		return health.Unknown
	}
	return o
}

// lost returns the outcome of an attempt whose answer didn't come or broke.
func (r *run) lost(err error) health.Outcome {
	r.exchange.Mark(r.id, answer.Broken)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return r.unless(health.Silent)
	}
	return r.unless(health.Broken)
}

// errDeclined means that the upstream has not run the request.
var errDeclined = errors.New("the upstream declined the request")

func (r *run) declined(a *conn.Answer) error {
	r.exchange.Mark(r.id, answer.Declined)
	r.runs--
	r.outcome = health.Shed
	if r.reply.Misdirected {
		r.outcome = health.Unreachable
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a, largestEvent))
	if err != nil {
		a.Abort()
	} else {
		a.Done(time.Now(), r.server.Pool)
	}
	return errDeclined
}

// errUnsigned means that an answer isn't the upstream's own.
var errUnsigned = errors.New("the answer has no signature")

// errFailed means that the upstream answered with a failure.
var errFailed = errors.New("the upstream failed")

// largestBody bounds a plain answer in bytes.
const largestBody = 32 << 20

// plain passes on an answer that is read whole first.
func (r *run) plain(a *conn.Answer) error {
	if err := a.Until(r.Until); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(a, largestBody))
	if err == nil && a.ContentLength >= 0 && int64(len(body)) != a.ContentLength && r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		a.Abort()
		r.outcome = r.lost(err)
		return err
	}
	a.Done(time.Now(), r.server.Pool)
	failed := a.StatusCode >= http.StatusInternalServerError
	r.outcome = health.Good
	switch {
	case r.reply.Encoded, !r.reply.Signed && a.StatusCode < http.StatusMultipleChoices:
		r.outcome = health.Failed
		r.exchange.Mark(r.id, answer.Broken)
		return errUnsigned
	case failed:
		r.outcome = health.Failed
	}
	if failed || promises(a.StatusCode) {
		r.exchange.Mark(r.id, answer.Broken)
		if r.reply.Signed && !promises(a.StatusCode) {
			r.failure = &failure{status: a.StatusCode, header: a.Header, body: body}
		}
		return errFailed
	}
	r.exchange.Mark(r.id, answer.Ended)
	r.out.Head(a.StatusCode, a.Header, len(body))
	return r.out.Write(body)
}

// promises reports whether a status promises that a request has not run.
func promises(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}

// noteEvery is the shortest time between two notes that a stream's upstream is
// alive.
const noteEvery = 50 * time.Millisecond

// errGap means that events of a stream are missing.
var errGap = errors.New("events of the stream are missing")

// stream passes on the events of a stream as they come.
func (r *run) stream(a *conn.Answer) error {
	if r.reply.Encoded || !r.reply.Signed {
		a.Abort()
		r.outcome = health.Failed
		r.exchange.Mark(r.id, answer.Broken)
		return errUnsigned
	}
	events := newEvents(a)
	var noted time.Time
	for first := true; ; first = false {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if now := time.Now(); err == nil && now.Sub(noted) > noteEvery {
			noted = now
			r.server.Fleet.Alive(now, r.target)
		}
		if first && err == nil {
			r.server.Fleet.Began(time.Now(), r.Request, r.target)
		}
		if err == nil {
			err = r.deliver(a, e)
		}
		if err != nil {
			a.Abort()
			r.outcome = r.lost(err)
			return err
		}
	}
	if !r.begun {
		r.begin(a)
	}
	r.exchange.Mark(r.id, answer.Ended)
	r.outcome = health.Good
	a.Done(time.Now(), r.server.Pool)
	return nil
}

func (r *run) begin(a *conn.Answer) {
	r.begun = true
	r.out.Head(a.StatusCode, a.Header, -1)
	if r.reply.Load != nil {
		r.server.Fleet.Loaded(time.Now(), r.target, *r.reply.Load)
		r.reply.Load = nil
	}
}

// deliver passes on one event.
func (r *run) deliver(a *conn.Answer, e event) error {
	if e.numbered {
		switch r.sequence.Next(e.number) {
		case answer.Drop:
			return nil
		case answer.Missing:
			return errGap
		case answer.Deliver:
		}
	}
	if !r.begun {
		r.begin(a)
	}
	if err := r.out.Write(e.raw); err != nil {
		return err
	}
	return a.Until(r.NextBy(time.Now(), r.runs))
}
