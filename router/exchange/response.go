package exchange

import (
	"bytes"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/node"
)

// Response is an upstream's response, or the recorded result of an earlier run.
type Response struct {
	Status      int
	ContentType string
	// Length is the length of the body in bytes, negative if unknown.
	Length int
	// Headers holds the header fields to forward.
	Headers []HeaderField
	// Body is the whole body if Complete is true. Otherwise it is the part read
	// so far, and Reader returns the whole body.
	Body     []byte
	Complete bool
	// Replayed is true if the response is the recorded result of an earlier
	// run.
	Replayed bool
	state    *callState
	// events reads the body if it is an event stream.
	events     *eventReader
	firstEvent event
	// StartLatency is the time from the start of the call until the first event,
	// the whole of a short body, or else the head of the response was read.
	StartLatency time.Duration
}

// IsEventStream reports whether the body is an event stream.
func (r *Response) IsEventStream() bool {
	return r.state != nil && r.state.call.Stream && r.Status == fasthttp.StatusOK
}

// readStart copies the head of the response and reads what is needed before the
// caller gets the status: the whole body if it is short, or the first event of
// an event stream.
func (r *Response) readStart() error {
	s := r.state
	r.Status = s.resp.StatusCode()
	r.ContentType = string(s.resp.Header.ContentType())
	r.Length = s.resp.Header.ContentLength()
	r.Headers = forwardedHeaders(&s.resp.Header)
	if r.IsEventStream() {
		return r.readFirstEvent()
	}
	return r.readBody()
}

// handleBrokenResponse logs the error, sets the phase of the attempt to Failed,
// closes the response body and finishes the permit. It returns true only if the
// upstream's load report names the process that is known here.
func (s *callState) handleBrokenResponse(err error) bool {
	s.log("answer_broken", err)
	s.exchange.SetPhase(s.id, answer.Failed)
	s.closeBody()
	return s.finishBroken()
}

func (s *callState) closeBody() {
	if s.resp == nil {
		return
	}
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
}

// readBody reads the body if it has at most maxBufferedBody bytes, or
// maxAtMostOnceBody if the request may run at most once, then sets Complete and
// finishes the permit. Of a longer body it reads only a part, or nothing if the
// length is stated.
func (r *Response) readBody() error {
	s := r.state
	if s.resp.BodyStream() == nil {
		// The request was a HEAD, or the status has no body.
		r.Complete = true
		r.close(nil)
		return nil
	}
	limit := int64(maxBufferedBody)
	if s.call.AtMostOnce {
		limit = maxAtMostOnceBody
	}
	if int64(r.Length) > limit {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(s.resp.BodyStream(), limit+1))
	if err != nil {
		return err
	}
	if r.Length >= 0 && len(data) != r.Length {
		return io.ErrUnexpectedEOF
	}
	r.Body = data
	r.Complete = int64(len(data)) <= limit
	if r.Complete {
		r.close(nil)
	}
	return nil
}

// Reader returns a body for which Complete is false. The caller must close it.
// A read error other than io.EOF means that the response broke off, and must
// not look like the end of the body to the caller.
func (r *Response) Reader() io.ReadCloser {
	return &bodyReader{response: r, source: io.MultiReader(bytes.NewReader(r.Body), r.state.resp.BodyStream())}
}

// errBodyUnread means that the body was closed before its end because the
// caller disconnected.
var errBodyUnread = errors.New("response body closed before its end")

type bodyReader struct {
	response *Response
	source   io.Reader
	ended    bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.source.Read(p)
	if err == nil {
		return n, nil
	}
	r.ended = true
	if errors.Is(err, io.EOF) {
		r.response.close(nil)
		return n, io.EOF
	}
	r.response.close(err)
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	if !r.ended {
		r.ended = true
		r.response.close(errBodyUnread)
	}
	return nil
}

// close sets the phase of the attempt to Completed, or to Failed if err is not
// nil, closes the response body and finishes the permit.
func (r *Response) close(err error) {
	s := r.state
	if err != nil {
		s.exchange.SetPhase(s.id, answer.Failed)
		s.closeBody()
		s.forwarder.finishPermitLater(s.held, node.Unused)
		return
	}
	s.exchange.SetPhase(s.id, answer.Completed)
	boot := string(s.resp.Header.Peek(headerEngineBoot))
	s.closeBody()
	s.forwarder.finishPermit(s.held, node.Responded, boot)
	s.forwarder.creditRetryBudget()
	s.clearSuspect()
}

// clearSuspect records that a suspect request has run to its end, notifies the
// other routers and appends this to the log.
func (s *callState) clearSuspect() {
	if !s.suspect {
		return
	}
	f := s.forwarder
	suspect := node.SuspectUpdate{Digest: s.call.ContentDigest, Clear: true}
	now := time.Now()
	f.Node.RecordSuspect(now, suspect)
	f.ApplyEffects(f.Node.BroadcastSuspect(now, suspect))
	f.AppendSuspect(suspect)
}
