package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
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

// CallerError reports that the caller took no more of its answer.
type CallerError struct {
	Cause error
}

// Error implements error.
func (e *CallerError) Error() string { return "the caller takes no more: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }

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
			return t.giveUp(now, t.truly(now, refusal))
		}
		sent, err := t.attempt(target)
		if err == nil {
			return nil
		}
		t.tried = append(t.tried, target.ID)
		now = time.Now()
		var caller *CallerError
		if ctx.Err() != nil || errors.As(err, &caller) || !s.Fleet.Again(now, c.Request, &t.exchange, sent, t.runs) {
			return t.giveUp(now, s.Fleet.Refuse(now, c.Request, &t.exchange, err.Error()))
		}
	}
}

// truly returns a refusal that claims no more than the attempts permit.
func (t *task) truly(now time.Time, refusal *core.Refusal) *core.Refusal {
	if t.exchange.Certainty() == core.NotRun {
		return refusal
	}
	return t.server.Fleet.Refuse(now, t.Request, &t.exchange, refusal.Message)
}

// choose returns the next target, by the policy for the kind of request.
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
	s.Log.Info("attempt_finished", zap.String("request", t.ID), zap.Int("attempt", id), zap.String("upstream", string(target.ID)),
		zap.String("outcome", r.outcome.String()), zap.Int("status", r.status), zap.Bool("sent", r.sent),
		zap.Duration("took", now.Sub(started)), zap.Int("load", target.Load), zap.Int("held", target.Held), zap.Int("prompt", target.Prompt),
		zap.String("fetch", target.Fetch), zap.Int("candidates", target.Candidates), zap.Bool("rests", rest), logs.Err(err))
	return r.sent, err
}
