package relay

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/router/httpclient"
)

// aliveInterval is the shortest time between two reports to the fleet that the
// upstream of a stream is alive.
const aliveInterval = 50 * time.Millisecond

// errNoEvents means that a stream that ends with its connection has ended before its
// first event: the upstream may have ended.
var errNoEvents = errors.New("the stream ended before its first event")

// endsWithConnection reports whether the body of a response has neither a length nor
// chunks.
func endsWithConnection(resp *httpclient.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// errProcessEnded means that a stream that ends with its connection has ended together with the
// upstream's process.
var errProcessEnded = errors.New("the stream ended with the upstream's process")

// checkEnd returns an error if a stream that has ended after an event, or before the first one, may
// have been broken off. Of a stream without a length or chunks, the system closes the connection in the
// same way when the process is killed as the process does after the last event. A new connection
// tells the two apart: nobody listens after a process that has ended. One that leaves stops listening
// before it ends its streams.
func (a *attempt) checkEnd(resp *httpclient.Response) error {
	if !endsWithConnection(resp) {
		return nil
	}
	if a.events == 0 {
		return errNoEvents
	}
	f, now := a.forwarder, time.Now()
	if a.helper != "" || a.headers.Says.Leaving || f.Fleet.IsLeaving(a.target.ID) {
		return nil
	}
	if err := f.Conns.Warm(a.ctx, now, a.target.Address, a.ConnectTimeout(now)); errors.Is(err, syscall.ECONNREFUSED) {
		return errProcessEnded
	}
	return nil
}

// errMissingEvents means that events of a stream were lost.
var errMissingEvents = errors.New("events of the stream are missing")

// errNotContinued means that the answer to a request that was to continue a stream is
// something else: a failure, a rejection, another kind of body, or no further event.
var errNotContinued = errors.New("the answer doesn't continue the stream")

// continues reports whether a response may be passed on as a stream: nothing of one was sent
// to the caller, or it states the same content type.
func (a *attempt) continues(resp *httpclient.Response) bool {
	return !a.streamStarted || mediaType(resp.Header) == a.contentType
}

// mediaType returns the content type without parameters, in lower case.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// dropAnswer ends an attempt whose answer must not reach the caller, who has the beginning
// of a stream.
func (a *attempt) dropAnswer(resp *httpclient.Response) error {
	resp.Abort()
	a.outcome = health.Good
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = health.Failed
	}
	a.exchange.SetPhase(a.id, answer.Failed)
	return errNotContinued
}

// forwardStream passes on the events of a stream as they arrive.
func (a *attempt) forwardStream(resp *httpclient.Response) error {
	if a.headers.Encoded || !a.headers.Signed {
		resp.Abort()
		a.outcome = health.Failed
		a.exchange.SetPhase(a.id, answer.Failed)
		return errNotOriginal
	}
	events := newEventReader(resp)
	var lastAlive time.Time
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if a.events == 0 && a.resumed && !endsWithConnection(resp) {
				return a.dropAnswer(resp)
			}
			if err = a.checkEnd(resp); err == nil {
				break
			}
		}
		if now := time.Now(); err == nil && now.Sub(lastAlive) > aliveInterval {
			lastAlive = now
			a.markSeen(now)
		}
		if err == nil {
			if !e.empty {
				a.recordEvent()
			}
			err = a.forwardEvent(resp, e)
		}
		if err != nil {
			resp.Abort()
			a.outcome = a.markFailed(err)
			return err
		}
	}
	if !a.streamStarted {
		a.sendHeader(resp)
	}
	a.exchange.SetPhase(a.id, answer.Completed)
	a.outcome = health.Good
	resp.Release(time.Now(), a.forwarder.Conns)
	return nil
}

// minEventsUnderWay is the number of events after which an answer is under way: an engine
// that crashes as it begins to write may have sent one.
const minEventsUnderWay = 2

// underWay reports whether the answer is under way: more of it has arrived than an
// engine sends that crashes as it begins to write.
func (a *attempt) underWay() bool { return a.events >= minEventsUnderWay }

// markSeen tells the fleet that the upstream is alive. Another router judges its own.
func (a *attempt) markSeen(now time.Time) {
	if a.helper == "" {
		a.forwarder.Fleet.MarkSeen(now, a.target)
	}
}

// recordEvent counts an event that isn't empty. The first one shows that the engine has
// the prompt in its cache.
func (a *attempt) recordEvent() {
	a.events++
	if a.helper != "" {
		return
	}
	a.target.Rollout.MarkFirstByte(time.Now())
	switch a.events {
	case 1:
		a.forwarder.Fleet.RecordPrefill(time.Now(), a.Request, a.target)
	case minEventsUnderWay:
		a.forwarder.applyPartEffects(a.ID, a.forwarder.Fleet.RecordAnswer(time.Now(), a.Request))
	}
}

// sendHeader sends the header of a stream to the caller. It reports the load
// stated there to the fleet at once, rather than at the end of the stream.
func (a *attempt) sendHeader(resp *httpclient.Response) {
	a.streamStarted, a.contentType = true, mediaType(resp.Header)
	if !a.Origin.Begun {
		// Where another router has begun the stream, the holders of its record know.
		a.Origin = lineage.Origin{Begun: true, Known: a.target.Certain, Release: a.target.Release}
		a.began = a.helper == ""
	}
	a.writer.WriteHeader(resp.StatusCode, resp.Header, -1)
	if a.headers.Load != nil && a.helper == "" {
		a.forwarder.notify(a.forwarder.Fleet.RecordLoad(time.Now(), a.target, *a.headers.Load))
		a.headers.Load = nil
	}
}

// forwardEvent passes on one event, unless the caller has received it before, and
// extends the deadline for the next one. An empty event is no progress. An event without a
// number can't be placed in a stream that is resumed.
func (a *attempt) forwardEvent(resp *httpclient.Response, e event) error {
	if a.resumed && a.sequence.HasLast && !e.hasID && !e.empty {
		return errNotContinued
	}
	if e.hasID {
		switch a.sequence.Next(e.id) {
		case answer.Drop:
			return nil
		case answer.Missing:
			return errMissingEvents
		case answer.Deliver:
		}
	}
	if !a.streamStarted {
		a.sendHeader(resp)
	}
	a.answerBytes += len(e.raw)
	if err := a.write(e.raw); err != nil {
		return err
	}
	if e.empty {
		return nil
	}
	now := time.Now()
	return resp.SetWait(a.waitUntil(now, a.NextEventDeadline(now, a.Runs)))
}
