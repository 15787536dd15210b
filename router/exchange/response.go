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
	// Header holds the header fields to forward.
	Header []Header
	// Body is the whole body if Complete is true. Otherwise it is the part read
	// so far, and Reader returns the whole body.
	Body     []byte
	Complete bool
	// Replayed is true if the response is the recorded result of an earlier
	// run.
	Replayed bool
	tx       *transaction
	// events reads the body if it is an event stream.
	events     *eventReader
	firstEvent event
	// FirstByte is the time from the start of the call until the first event,
	// the whole of a short body or else the head of the response was read.
	FirstByte time.Duration
}

// IsEventStream reports whether the body is an event stream.
func (r *Response) IsEventStream() bool {
	return r.tx != nil && r.tx.call.Stream && r.Status == fasthttp.StatusOK
}

// readStart copies the head of the response and reads what is needed before the
// caller gets the status: the whole body if it is short, or the first event of
// an event stream.
func (r *Response) readStart() error {
	t := r.tx
	r.Status = t.resp.StatusCode()
	r.ContentType = string(t.resp.Header.ContentType())
	r.Length = t.resp.Header.ContentLength()
	r.Header = forwardedHeaders(&t.resp.Header)
	if r.IsEventStream() {
		return r.readFirstEvent()
	}
	return r.readBody()
}

// handleBrokenResponse logs the error, marks the attempt as broken and closes
// the response body. It returns true only if the upstream process that began
// the attempt is known to still run.
func (t *transaction) handleBrokenResponse(err error) bool {
	t.log("answer_broken", err)
	t.exchange.SetPhase(t.id, answer.Failed)
	t.closeBody()
	return t.settleBroken()
}

func (t *transaction) closeBody() {
	if t.resp == nil {
		return
	}
	_ = t.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
}

// readBody reads a body of at most maxBufferedBody bytes, or maxAtMostOnceBody
// if the request may run only once. If that was the whole body, it sets
// Complete and finishes the exchange.
func (r *Response) readBody() error {
	t := r.tx
	limit := int64(maxBufferedBody)
	if t.call.AtMostOnce {
		limit = maxAtMostOnceBody
	}
	if int64(r.Length) > limit {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(t.resp.BodyStream(), limit+1))
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
	return &bodyReader{response: r, source: io.MultiReader(bytes.NewReader(r.Body), r.tx.resp.BodyStream())}
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

// close marks the attempt as ended, or as broken if err is not nil, closes the
// response body and finishes the permit.
func (r *Response) close(err error) {
	t := r.tx
	if err != nil {
		t.exchange.SetPhase(t.id, answer.Failed)
		t.closeBody()
		t.forwarder.finishPermitLater(t.held, node.Unused)
		return
	}
	t.exchange.SetPhase(t.id, answer.Completed)
	boot := string(t.resp.Header.Peek(headerEngineBoot))
	t.closeBody()
	t.forwarder.finishPermit(t.held, node.Responded, boot)
	t.forwarder.creditRetryBudget()
	t.clearSuspect()
}

// clearSuspect records that a suspect request has run to its end, notifies the
// other routers and appends this to the log.
func (t *transaction) clearSuspect() {
	if !t.suspect {
		return
	}
	f := t.forwarder
	suspect := node.SuspectUpdate{Digest: t.call.ContentDigest, Clear: true}
	now := time.Now()
	f.Node.RecordSuspect(now, suspect)
	f.ApplyEffects(f.Node.BroadcastSuspect(now, suspect))
	f.AppendSuspect(suspect)
}
