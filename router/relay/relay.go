package relay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/httpclient"
)

// Forwarder forwards requests to upstreams.
type Forwarder struct {
	Fleet       *fleet.Fleet
	HeaderCodec HeaderCodec
	Log         *zap.Logger
	Conns       *httpclient.Pool
	Metrics     Metrics
	// Identity is how to ask an upstream which process answers.
	Identity Identity
	// Notify sends a message to all other routers. It doesn't wait, and may be nil.
	Notify func(fleet.Message)
	// Send sends a message to one router. It doesn't wait, and may be nil.
	Send func(fleet.Envelope)
	// Memory bounds the responses that are held; nil if nothing does.
	Memory *budget.Pool
	// buffered is the size of the bodies that are held, in bytes.
	buffered atomic.Int64
	// loadRefusedAt is when a refused figure of a load report was last logged, in nanoseconds
	// since the Unix epoch.
	loadRefusedAt atomic.Int64
	// quotaWaiters holds by upstream the requests that wait for quota.
	quotaWaiters waiters[core.UpstreamID]
	// originReplies holds by stream the requests that wait for where it began.
	originReplies inboxes[core.Digest, lineage.Report]
	// ApplySlots delivers the answers and sends the messages that follow from a question for a
	// slot, SlotsEnded tells that there are slots to be returned. They don't wait, and may be nil.
	ApplySlots func(fleet.Effects)
	SlotsEnded func()
	// slotAnswers holds by number the requests that wait for slots.
	slotAnswers inboxes[uint64, fleet.SlotAnswer]
}

// Metrics counts attempts.
type Metrics interface {
	// Ended counts a finished attempt by its outcome.
	Ended(pool core.Pool, outcome string)
	// Kept counts an attempt that is overdue and goes on, since no other upstream takes the
	// request.
	Kept(pool core.Pool)
	// LoadUnderestimate records by how many requests the load that an upstream reports
	// exceeds the one that the router believed when it chose the upstream.
	LoadUnderestimate(pool core.Pool, requests int)
	// Crossed counts an attempt in another data centre and the bytes of its request and answer
	// by why it went there.
	Crossed(pool core.Pool, why string, bytes int)
	// Slot counts a question for a slot by its outcome, and records the time until that.
	Slot(pool core.Pool, outcome string, queued bool, waited time.Duration)
}

// callState is the state of a call over all its attempts.
type callState struct {
	*Call
	forwarder *Forwarder
	ctx       context.Context
	writer    ResponseWriter
	exchange  answer.Exchange
	sequence  answer.EventSequence
	tried     []core.UpstreamID
	// next is the target that was secured for the next attempt; nil if there is none.
	next *fleet.Target
	// streamStarted reports whether the header of a stream was sent to the caller, and
	// contentType is the one that it states. It stays false for buffered responses.
	streamStarted bool
	contentType   string
	// ahead holds the events of a stream that its caller reads slowly; nil if it keeps up.
	ahead *readAhead
	// probe reports whether the call tests a part of its prompt that may be deadly.
	probe bool
	// connectFailed reports whether a connection to an upstream couldn't be
	// opened. Another data centre is then likely to be unreachable, so that later
	// attempts at engines prefer the router's own.
	connectFailed bool
	// detours is what was tried of upstreams and of other routers. helperRefusal is the
	// refusal of another router that any further one would repeat.
	detours       fleet.Detours
	helperRefusal *core.Refusal
	// failure is the last signed failure response of an upstream. It is sent to
	// the caller if no further attempt is made.
	failure *failedResponse
}

// failedResponse is a response in which an upstream reports a failure.
type failedResponse struct {
	status int
	header http.Header
	body   blocks.Body
}

// Forward sends a call to upstreams, one after another, until one has answered it
// or no further attempt is permitted, and writes the response to w. The error is
// an *IncompleteResponseError if a part of a stream was written. Otherwise it is a
// *core.Refusal, or the error from writing an upstream's failure response to w.
func (f *Forwarder) Forward(ctx context.Context, c *Call, w ResponseWriter) error {
	s := &callState{Call: c, forwarder: f, ctx: ctx, writer: w, exchange: c.NewExchange()}
	s.sequence = answer.EventSequence{Last: c.LastEventID, HasLast: c.HasLastEventID}
	defer s.releaseNext()
	defer s.releaseSlot()
	if c.ResumesStream() {
		s.findOrigin(time.Now())
	}
	return s.finishAhead(s.run())
}

// run makes attempts until one has answered the call or no further one is permitted.
func (s *callState) run() error {
	f, c, ctx := s.forwarder, s.Call, s.ctx
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return s.fail(now, f.Fleet.Refuse(now, c.Request, &s.exchange, ctx.Err().Error()))
		}
		if refusal := s.checkParts(now); refusal != nil {
			return s.fail(now, s.withCertainty(now, refusal))
		}
		target, secured := s.takeNext()
		if !secured {
			if refusal := f.Fleet.RefuseRelayed(now, s.Request, s.detours.Unreached); refusal != nil {
				return s.fail(now, s.withCertainty(now, refusal))
			}
			if done, err := s.takeDetour(); done {
				return err
			}
			var refusal *core.Refusal
			if target, refusal = s.chooseTarget(now, ""); refusal != nil {
				return s.fail(now, s.withCertainty(now, refusal))
			}
		}
		if target.Ask != nil || target.SlotAsk != nil {
			s.awaitGrant(target)
			continue
		}
		s.settleSlot(target)
		sent, err := s.tryTarget(target)
		if err == nil {
			return nil
		}
		s.tried = append(s.tried, target.ID)
		now = time.Now()
		var writeErr *CallerWriteError
		if ctx.Err() != nil || errors.As(err, &writeErr) || (s.next == nil && !f.Fleet.MayRetry(now, c.Request, &s.exchange, sent, s.Runs)) {
			return s.fail(now, f.Fleet.Refuse(now, c.Request, &s.exchange, err.Error()))
		}
	}
}

// withCertainty returns the refusal unchanged if no attempt has run. Otherwise it
// returns one with the same message that states an unknown outcome.
func (s *callState) withCertainty(now time.Time, refusal *core.Refusal) *core.Refusal {
	if s.exchange.Certainty() == core.NotRun {
		return refusal
	}
	return s.forwarder.Fleet.Refuse(now, s.Request, &s.exchange, refusal.Message)
}

// chooseTarget returns the upstream for the next attempt. The policy depends on the
// pool, the kind of request, and whether a connection has failed. At is the upstream that
// the request is at, where it stays if chooseTarget refuses; empty if it is at none.
func (s *callState) chooseTarget(now time.Time, at core.UpstreamID) (fleet.Target, *core.Refusal) {
	s.RunsBefore = s.Runs
	switch {
	case s.Pool.Engine == nil:
		return chooseBy(now, s, fleet.FreePlaces{}, at)
	case s.Route.Repeatable() && !s.connectFailed:
		return chooseBy(now, s, fleet.Affinity{}, at)
	default:
		return chooseBy(now, s, fleet.LocalFirst{}, at)
	}
}

func chooseBy[P fleet.Policy](now time.Time, s *callState, policy P, at core.UpstreamID) (fleet.Target, *core.Refusal) {
	if at == "" {
		return fleet.Choose(now, s.forwarder.Fleet, policy, s.Request, s.tried)
	}
	return fleet.Secure(now, s.forwarder.Fleet, policy, s.Request, fleet.Attempted{
		Exchange: &s.exchange, Runs: s.Runs, Tried: append(slices.Clone(s.tried), at),
	})
}

// fail ends a call that no attempt has completed. It sends the upstream's own
// failure to the caller if there is one and the request may have run, and returns
// an error otherwise.
func (s *callState) fail(now time.Time, refusal *core.Refusal) error {
	s.forwarder.Log.Warn("request_failed", zap.String("request", s.ID), zap.Int("status", refusal.Status),
		zap.String("certainty", refusal.Certainty.String()), zap.String("code", refusal.Code),
		zap.String("why", refusal.Message), zap.Int("attempts", s.exchange.Attempts()),
		zap.Duration("left", s.Deadline.Sub(now)), zap.Uint64("version", s.CatalogVersion))
	if s.streamStarted {
		return &IncompleteResponseError{Cause: refusal}
	}
	if f := s.failure; f != nil && refusal.Certainty != core.NotRun {
		s.writer.WriteHeader(f.status, f.header, f.body.Len())
		for _, block := range f.body {
			if err := s.writer.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
	return refusal
}

// tryTarget makes one attempt and reports its outcome to the fleet. It reports
// whether a connection was obtained, so that bytes may have been sent. The error
// is nil if the caller has the whole response.
func (s *callState) tryTarget(target fleet.Target) (bool, error) {
	f := s.forwarder
	id := s.exchange.StartAttempt(target.ID)
	started := time.Now()
	a := &attempt{callState: s, target: target, id: id}
	err := a.protectedRun()
	now := time.Now()
	ejected := f.Fleet.FinishAttempt(now, target, a.outcome, a.headers.Load)
	if a.helper == "" {
		a.recordRun(now)
	}
	if target.Slot.Number != 0 {
		f.slotsEnded()
	}
	f.Metrics.Ended(s.Pool.Name, a.outcome.String())
	if a.reported != nil && a.helper == "" {
		f.Metrics.LoadUnderestimate(s.Pool.Name, a.reported.Total()-target.Load-1)
	}
	if ejected && a.outcome == health.TimedOut {
		// The kept connections of an upstream that hangs would hold up further requests.
		f.Conns.CloseIdle(target.Address)
	}
	if a.outcome == health.Shed {
		f.notify(f.Fleet.RecordRejection(now, target))
	}
	if a.outcome == health.Unreachable {
		s.detours.Unreached++
	}
	if a.outcome == health.Broken && a.sent {
		f.Fleet.RecordBrokenConnection(now, s.Request, target)
		if !a.underWay() {
			f.applyPartEffects(s.ID, f.Fleet.RecordBreak(now, s.Request, target))
		}
	}
	if err != nil {
		a.revokeBeginning(now)
	}
	if err == nil {
		f.Fleet.ClearSuspect(s.Request)
		if !a.underWay() && a.status < http.StatusMultipleChoices {
			f.applyPartEffects(s.ID, f.Fleet.RecordAnswer(now, s.Request))
		}
	}
	a.log(now.Sub(started), ejected, err)
	return a.sent, err
}

// protectedRun makes the attempt. If it panics, what was sent is unknown, but the attempt has
// ended and holds no load. Its context ends with it, which closes a connection that it has
// left open: the upstream must not go on.
func (a *attempt) protectedRun() error {
	ctx, cancel := context.WithCancel(a.callState.ctx)
	defer cancel()
	a.ctx = ctx
	var err error
	if panicked := worker.Protect(func() { err = a.run() }); panicked != nil {
		a.outcome, err = health.Unknown, panicked
		a.exchange.SetPhase(a.id, answer.Failed)
	}
	return err
}

// notify sends a message to all other routers, if there is one.
func (f *Forwarder) notify(m *fleet.Message) {
	if m != nil && f.Notify != nil {
		f.Notify(*m)
	}
}
