package relay

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/router/conn"
)

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
	var caller *CallerError
	if errors.As(err, &caller) {
		return health.Unknown
	}
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
		r.outcome = health.Misdirected
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
	var body []byte
	err := a.Until(r.Until)
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(a, largestBody))
	}
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
	if err := r.out.Write(body); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
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
		return &CallerError{Cause: err}
	}
	return a.Until(r.NextBy(time.Now(), r.runs))
}
