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

// Answer is an upstream's answer on its way to the caller.
type Answer struct {
	Status      int
	ContentType string
	// Length is the length of the body in bytes; negative if it is not known.
	Length int
	// Header holds the upstream's other header fields.
	Header []Header
	// Body is the body if it was read whole, which Kept says; else it is the
	// beginning, and Reader gives the whole.
	Body []byte
	Kept bool
	// Replayed is set if the answer is that of an earlier run.
	Replayed bool
	try      *try
	// events is set if the body is a stream of events.
	events *events
	first  event
	// FirstByte is the time from the request to the first byte of the answer.
	FirstByte time.Duration
}

// IsEvents reports whether the body is a stream of events.
func (a *Answer) IsEvents() bool {
	return a.try != nil && a.try.call.Stream && a.Status == fasthttp.StatusOK
}

// load reads what is needed before the caller sees the status: the whole body
// if it is short, or the first event of a stream.
func (a *Answer) load() error {
	t := a.try
	a.Status = t.resp.StatusCode()
	a.ContentType = string(t.resp.Header.ContentType())
	a.Length = t.resp.Header.ContentLength()
	a.Header = passed(&t.resp.Header)
	if a.IsEvents() {
		return a.readFirst()
	}
	return a.readBody()
}

// brokenOff takes in that an answer that had begun broke. It reports whether
// the process that began it lives.
func (t *try) brokenOff(err error) bool {
	t.log("answer_broken", err)
	t.exchange.Mark(t.id, answer.Broken)
	t.closeBody()
	return t.broke()
}

func (t *try) closeBody() {
	if t.resp == nil {
		return
	}
	_ = t.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(t.resp)
	t.resp = nil
}

// readBody reads a body up to bufferSize, or whole if the request may run only
// once. Kept is set if that was all of it, and the exchange is then closed.
func (a *Answer) readBody() error {
	t := a.try
	limit := int64(bufferSize)
	if t.call.Once {
		limit = onceSize
	}
	if int64(a.Length) > limit {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(t.resp.BodyStream(), limit+1))
	if err != nil {
		return err
	}
	if a.Length >= 0 && len(data) != a.Length {
		return io.ErrUnexpectedEOF
	}
	a.Body = data
	a.Kept = int64(len(data)) <= limit
	if a.Kept {
		a.close(nil)
	}
	return nil
}

// Reader returns a body that was not read whole. It must be closed. A read
// error means that the answer broke: the caller must not be shown an end.
func (a *Answer) Reader() io.ReadCloser {
	return &bodyReader{answer: a, source: io.MultiReader(bytes.NewReader(a.Body), a.try.resp.BodyStream())}
}

// errUnread means that the caller went away before the end of a body.
var errUnread = errors.New("the body was not read to its end")

type bodyReader struct {
	answer *Answer
	source io.Reader
	done   bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	n, err := r.source.Read(p)
	if err == nil {
		return n, nil
	}
	r.done = true
	if errors.Is(err, io.EOF) {
		r.answer.close(nil)
		return n, io.EOF
	}
	r.answer.close(err)
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	if !r.done {
		r.done = true
		r.answer.close(errUnread)
	}
	return nil
}

// close ends the exchange.
func (a *Answer) close(err error) {
	t := a.try
	if err != nil {
		t.exchange.Mark(t.id, answer.Broken)
		t.closeBody()
		t.server.finishLater(t.held, node.Unused)
		return
	}
	t.exchange.Mark(t.id, answer.Ended)
	boot := string(t.resp.Header.Peek(headerBoot))
	t.closeBody()
	t.server.finish(t.held, node.Answered, boot)
	t.server.succeed()
	t.clear()
}

// clear says that a suspect request has run to its end.
func (t *try) clear() {
	if !t.suspect {
		return
	}
	s := t.server
	suspect := node.Suspect{Digest: t.call.Content, Clear: true}
	now := time.Now()
	s.Node.Suspect(now, suspect)
	s.Carry(s.Node.Tell(now, suspect))
	s.Suspects(suspect)
}
