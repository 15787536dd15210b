package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/httpclient"
)

// attempt is one attempt of a call at one upstream.
type attempt struct {
	*callState
	// ctx ends with the attempt, or before with the context of the call.
	ctx    context.Context
	target fleet.Target
	// helper is the other router that the attempt is made at; empty if it is made at an
	// upstream. The target is then that router's address.
	helper core.RouterID
	// helperRuns is how often upstreams may have run the request according to the helper.
	helperRuns int
	// id is the number of the attempt within the call.
	id int
	// sent is true once a connection is open: bytes may then have been sent.
	sent bool
	// reusedConn is true if the connection has carried an earlier request, and unnamedConn if
	// it has carried one without an id. connSerial is its number in the pool.
	reusedConn, unnamedConn bool
	connSerial              uint64
	// skipped is the number of responses to other requests that came in place of the
	// expected one.
	skipped int
	// status and headers are those of the response; zero if there was none.
	status  int
	headers ResponseHeaders
	// reported is the load that the upstream has reported in the response; nil if it
	// reported none.
	reported *load.Report
	// events is the number of events of a stream that have arrived, without empty ones.
	events int
	// resumed is true if the attempt is to continue a stream of which the caller has the
	// header.
	resumed bool
	// kept is true once the attempt was overdue while no other upstream took the request.
	kept bool
	// answerBytes is the size of the answer so far.
	answerBytes int
	// outcome is what the fleet is told of the attempt.
	outcome health.Outcome
	// began is true if the caller got the first event of the stream by this attempt, from an
	// upstream.
	began bool
	// questioned is true if the upstream was asked which process answers.
	questioned bool
}

// run makes the attempt and sets its outcome.
func (a *attempt) run() error {
	now := time.Now()
	c, err := a.connect(now, a.maxIdle())
	if err != nil {
		return err
	}
	if err := a.identify(c); err != nil {
		if a.Origin.Begun || a.ctx.Err() != nil {
			return err
		}
		// The stream can begin at a process that didn't answer the question, but goes on nowhere.
		if c, err = a.connect(time.Now(), 0); err != nil {
			return err
		}
		a.target.Certain, a.outcome = false, health.Unknown
	}
	now = time.Now()
	if a.helper == "" {
		a.recordBeginning()
	}
	a.sent = true
	a.target.Rollout.MarkSent(now)
	a.Runs++
	a.exchange.SetPhase(a.id, answer.Sent)
	a.reusedConn, a.unnamedConn, a.connSerial = c.Reused(), c.CarriedUnnamed(), c.Serial()
	resp, err := c.Do(a.ctx, a.request(now), a.waitUntil(now, a.FirstByteDeadline(now, a.target, a.Runs)), a.checkHeader)
	if err != nil {
		a.outcome = a.markFailed(err)
		return err
	}
	a.status = resp.StatusCode
	if refused, err := a.readRefusal(resp); refused {
		return err
	}
	if a.helper == "" {
		a.recordPace(time.Now())
		a.logLoadRefused(time.Now())
		a.recordStatement()
	}
	if a.headers.NotRun || a.headers.Misdirected {
		return a.handleDeclined(resp)
	}
	a.resumed = a.streamStarted
	if a.Route.Kind == catalog.Stream && resp.StatusCode == http.StatusOK && a.continues(resp) {
		return a.forwardStream(resp)
	}
	a.target.Rollout.MarkFirstByte(time.Now())
	if a.resumed {
		return a.dropAnswer(resp)
	}
	return a.forwardBuffered(resp)
}

// request returns the request that is sent to the upstream.
func (a *attempt) request(now time.Time) httpclient.Request {
	info := AttemptInfo{
		Call: a.Call, Target: a.target, TimeLeft: a.Deadline.Sub(now),
		LastEventID: a.sequence.Last, HasLastEventID: a.sequence.HasLast,
	}
	r := httpclient.Request{Method: a.Method, URI: a.URI, Host: a.Host, Body: a.Body, HasBody: a.HasBody, Deadline: a.Deadline}
	if a.helper == "" {
		r.Header = a.forwarder.HeaderCodec.AttemptHeader(info)
		return r
	}
	r.Header = a.forwarder.HeaderCodec.DetourHeader(info)
	// This attempt isn't a run of its own: the other router counts those that it makes.
	r.Header.Set(RunsField, strconv.Itoa(a.Runs-1))
	r.Header.Set(SenderField, string(a.forwarder.Fleet.Settings().ID))
	return r
}

// checkHeader parses the header of a response into a.headers. It returns a
// *httpclient.MismatchedResponseError if the header states the id of another
// request, or if it states none on a connection that has carried earlier requests and is
// signed or declines the request: it may be a late copy of their responses. So may any without
// an id, if one of them had none.
func (a *attempt) checkHeader(status int, h http.Header) error {
	a.headers = a.forwarder.HeaderCodec.ParseResponse(status, h)
	a.reported = a.headers.Load
	anonymous := a.headers.RequestID == "" && (a.unnamedConn || a.reusedConn && (a.headers.Signed || a.headers.NotRun))
	if anonymous || (a.headers.RequestID != "" && a.headers.RequestID != a.ID) {
		a.skipped++
		return &httpclient.MismatchedResponseError{Want: a.ID, Got: a.headers.RequestID}
	}
	return nil
}

// unlessCancelled returns o, or Unknown if the caller has disconnected.
func (a *attempt) unlessCancelled(o health.Outcome) health.Outcome {
	if a.ctx.Err() != nil {
		return health.Unknown
	}
	return o
}

// markFailed sets the phase of the attempt to Failed. It returns the outcome for
// err, the error of an attempt without a whole response; Unknown if the fault is
// the caller's or that of other bodies.
func (a *attempt) markFailed(err error) health.Outcome {
	a.exchange.SetPhase(a.id, answer.Failed)
	var writeErr *CallerWriteError
	if errors.As(err, &writeErr) {
		return health.Unknown
	}
	var large *BodyTooLargeError
	var short *budget.ShortError
	if errors.As(err, &large) && large.Shared || errors.As(err, &short) {
		return health.Unknown
	}
	return a.contactOutcome(err)
}

// contactOutcome returns the outcome for the error of a connection.
func (a *attempt) contactOutcome(err error) health.Outcome {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return a.unlessCancelled(health.TimedOut)
	}
	return a.unlessCancelled(health.Broken)
}

// errDeclined means that the upstream has not run the request.
var errDeclined = errors.New("the upstream declined the request")

const (
	// maxDiscardBytes is how much of the body of a response is read and discarded.
	maxDiscardBytes = 64 << 10
	// maxDiscardTime is how long that may take, while the request waits for its next
	// attempt.
	maxDiscardTime = 20 * time.Millisecond
)

// handleDeclined records that the upstream has not run the request.
func (a *attempt) handleDeclined(resp *httpclient.Response) error {
	a.exchange.SetPhase(a.id, answer.Declined)
	a.Runs--
	a.outcome = health.Shed
	if a.headers.Misdirected {
		a.outcome = health.Misdirected
	}
	a.discard(resp)
	return errDeclined
}

// errNotOriginal means that a response isn't as the upstream produced it: it is a
// success or a stream without signature, or its body is encoded.
var errNotOriginal = errors.New("the answer has no signature")

// errUpstreamFailed means that the upstream responded with a failure.
var errUpstreamFailed = errors.New("the upstream failed")

// forwardBuffered reads the whole response before it passes it on to the caller.
func (a *attempt) forwardBuffered(resp *httpclient.Response) error {
	var body blocks.Body
	holding := a.forwarder.Memory.Begin(a.Client, nil)
	reader := bodyReader{body: resp, buffered: &a.forwarder.buffered, holding: holding}
	defer reader.release()
	err := holding.Pin()
	if err == nil {
		err = resp.SetWait(httpclient.Wait{Until: a.Deadline})
	}
	if err == nil {
		body, err = reader.readAll(resp.ContentLength)
	}
	if err == nil && resp.ContentLength >= 0 && int64(body.Len()) != resp.ContentLength && a.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		resp.Abort()
		a.outcome = a.markFailed(err)
		return err
	}
	original := !a.headers.Encoded && (a.headers.Signed || resp.StatusCode >= http.StatusMultipleChoices)
	serverError := resp.StatusCode >= http.StatusInternalServerError
	failed := serverError || impliesNotRun(resp.StatusCode)
	if !original || failed {
		resp.ExcludeRequest(a.ID)
	}
	if a.headers.RequestID == "" && a.reusedConn {
		// It may be a late copy, and the upstream may work on the request.
		resp.Abort()
	} else {
		resp.Release(time.Now(), a.forwarder.Conns)
	}
	a.outcome = health.Good
	switch {
	case !original:
		a.outcome = health.Failed
		a.exchange.SetPhase(a.id, answer.Failed)
		return errNotOriginal
	case serverError:
		a.outcome = health.Failed
	}
	if failed {
		a.exchange.SetPhase(a.id, answer.Failed)
		if a.headers.Signed && !impliesNotRun(resp.StatusCode) {
			a.failure = &failedResponse{status: resp.StatusCode, header: resp.Header, body: body}
		}
		return errUpstreamFailed
	}
	a.exchange.SetPhase(a.id, answer.Completed)
	a.answerBytes = body.Len()
	a.writer.WriteHeader(resp.StatusCode, resp.Header, body.Len())
	return a.writeBody(body, holding)
}

// impliesNotRun reports whether callers take a status to mean that their request
// has not run.
func impliesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}
