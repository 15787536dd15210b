package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
)

// event is one event of an event stream.
type event struct {
	// position is the event's id, or its place in the stream, counted from one.
	position int
	// raw holds the event's lines without the id line and the empty line that
	// ends the event.
	raw     []byte
	endMark bool
}

// eventReader splits an event stream into events.
type eventReader struct {
	reader *bufio.Reader
	// last is the position of the last event read. An event without an id gets
	// the next position.
	last int
}

// maxLineLength is the length in bytes from which a line of an event stream is
// refused. It is checked after each read buffer, so that a line may be up to one
// buffer longer.
const maxLineLength = 1 << 20

var (
	// errNoEndMark means that a stream ended before its end mark.
	errNoEndMark = errors.New("event stream closed before its end mark")
	// errEventsMissing means that events were lost between the last one that
	// was delivered and the one that was read.
	errEventsMissing = errors.New("event stream has a gap: event ids are not consecutive")
	// errLineTooLong means that a line exceeds maxLineLength.
	errLineTooLong = errors.New("line of the event stream is longer than 1048576 bytes")
)

func newEventReader(r io.Reader, from int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 4096), last: from}
}

var doneMark = []byte("data: [DONE]")

// next reads the next event. Its error is errNoEndMark, errLineTooLong or that
// of the connection.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.readLine()
		if err != nil {
			return ev, err
		}
		switch {
		case len(line) == 0 && len(ev.raw) == 0:
			continue
		case len(line) == 0:
			return e.assignPosition(ev), nil
		case bytes.HasPrefix(line, []byte("id:")):
			ev.position, _ = strconv.Atoi(string(bytes.TrimSpace(line[3:])))
			continue
		case bytes.Equal(line, doneMark):
			ev.endMark = true
		}
		ev.raw = append(append(ev.raw, line...), '\n')
	}
}

func (e *eventReader) assignPosition(ev event) event {
	if ev.position == 0 {
		ev.position = e.last + 1
	}
	e.last = ev.position
	return ev
}

func (e *eventReader) readLine() ([]byte, error) {
	var whole []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		whole = append(whole, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(whole, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull) && len(whole) < maxLineLength:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errLineTooLong
		case errors.Is(err, io.EOF):
			return nil, errNoEndMark
		default:
			return nil, err
		}
	}
}

// readFirstEvent starts to read the response as an event stream, up to the first
// event that was not delivered to the caller yet.
func (r *Response) readFirstEvent() error {
	s := r.state
	r.events = newEventReader(s.resp.BodyStream(), s.resumeAfter)
	ev, err := r.nextUndelivered()
	if err != nil {
		return err
	}
	r.firstEvent = ev
	return nil
}

// nextUndelivered reads events until it finds the next one for the caller, and
// drops those that were delivered before.
func (r *Response) nextUndelivered() (event, error) {
	s := r.state
	for {
		ev, err := r.events.next()
		if err != nil {
			return event{}, err
		}
		switch s.exchange.AcceptChunk(s.id, ev.position) {
		case answer.Drop:
			s.forwarder.Metrics.DroppedEvent(s.call.Pool.Name)
		case answer.Missing:
			return event{}, errEventsMissing
		case answer.Deliver:
			return ev, nil
		}
	}
}

// WriteEvents writes the events to the caller up to the end mark. If the stream
// breaks, it is resumed or the request runs again, where permitted. The error
// is a *CallerGoneError or a *TruncatedError.
func (r *Response) WriteEvents(ctx context.Context, w *bufio.Writer) error {
	ev := r.firstEvent
	for {
		if err := writeEvent(w, ev); err != nil {
			r.close(err)
			return &CallerGoneError{Cause: err}
		}
		if ev.endMark {
			r.state.exchange.AcceptEnd(r.state.id, ev.position)
			r.close(nil)
			return nil
		}
		next, err := r.nextUndelivered()
		if err != nil {
			if next, err = r.resume(ctx, err); err != nil {
				return err
			}
		}
		ev = next
	}
}

// CallerGoneError reports that the caller disconnected before the end of the
// response.
type CallerGoneError struct {
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return "caller disconnected: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

func writeEvent(w *bufio.Writer, ev event) error {
	if _, err := w.Write(ev.raw); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}

// NotContinuedError reports a response that doesn't continue a broken stream: a failure, a
// rejection or another kind of body.
type NotContinuedError struct {
	Status      int
	ContentType string
}

// Error implements error.
func (e *NotContinuedError) Error() string {
	return fmt.Sprintf("response with status %d and content type %q doesn't continue the stream", e.Status, e.ContentType)
}

// readContinuation starts to read a response that is to continue the stream whose beginning
// the caller has: a success of the same content type.
func (r *Response) readContinuation() error {
	head := r.state.resp
	if status, contentType := head.StatusCode(), string(head.Header.ContentType()); status != r.Status || contentType != r.ContentType {
		return &NotContinuedError{Status: status, ContentType: contentType}
	}
	return r.readFirstEvent()
}

// resume continues a broken stream: in the same upstream process after the last
// event that was delivered, or else with another run of the request, if no
// event was delivered or every run gives the same response.
func (r *Response) resume(ctx context.Context, cause error) (event, error) {
	s := r.state
	for {
		sameProcess := s.handleBrokenResponse(cause)
		if !s.chooseRestart(sameProcess) {
			return event{}, r.truncated()
		}
		if refusal := s.sendWithRetries(ctx, false); refusal != nil {
			s.log("stream_not_resumed", refusal)
			return event{}, r.truncated()
		}
		if cause = r.readContinuation(); cause == nil {
			return r.firstEvent, nil
		}
	}
}

// chooseRestart sets s.only and s.resumeAfter: to the same upstream and the last
// delivered event if a broken stream can be resumed, else to empty and zero for
// a new run. It reports false if the request may not run again either.
func (s *callState) chooseRestart(sameProcess bool) bool {
	s.only, s.resumeAfter = "", 0
	if sameProcess && s.exchange.MayResume() {
		s.only = s.target.ID
		s.resumeAfter = s.exchange.Delivered()
		return true
	}
	return s.exchange.MayRetry()
}

// TruncatedError reports that an event stream broke before its end mark and
// could not be continued.
type TruncatedError struct {
	Refusal *core.Refusal
}

// Error implements error.
func (e *TruncatedError) Error() string { return e.Refusal.Error() }

func (r *Response) truncated() error {
	return &TruncatedError{Refusal: r.state.exchange.Refusal(502, "stream_cut", "the answer broke off and could not be resumed")}
}
