package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
)

// event is one event of a stream, as lines of text.
type event struct {
	// position is counted from one.
	position int
	// raw is the event without its empty line.
	raw  []byte
	last bool
}

// events reads a stream of events.
type events struct {
	reader *bufio.Reader
	// count is the position of the last event, for streams without ids.
	count int
}

// maxLine is the longest line of a stream in bytes.
const maxLine = 1 << 20

var (
	// errNoEnd means that a stream closed without its end mark.
	errNoEnd = errors.New("the stream closed without an end mark")
	// errMissing means that events of a stream were lost.
	errMissing = errors.New("events of the stream are missing")
	// errLine means that a line is longer than maxLine.
	errLine = errors.New("a line of the stream is too long")
)

func newEvents(r io.Reader, from int) *events {
	return &events{reader: bufio.NewReaderSize(r, 4096), count: from}
}

var doneMark = []byte("data: [DONE]")

// next returns the next event.
func (e *events) next() (event, error) {
	var ev event
	for {
		line, err := e.line()
		if err != nil {
			return ev, err
		}
		switch {
		case len(line) == 0 && len(ev.raw) == 0:
			continue
		case len(line) == 0:
			return e.number(ev), nil
		case bytes.HasPrefix(line, []byte("id:")):
			ev.position, _ = strconv.Atoi(string(bytes.TrimSpace(line[3:])))
			continue
		case bytes.Equal(line, doneMark):
			ev.last = true
		}
		ev.raw = append(append(ev.raw, line...), '\n')
	}
}

func (e *events) number(ev event) event {
	if ev.position == 0 {
		ev.position = e.count + 1
	}
	e.count = ev.position
	return ev
}

func (e *events) line() ([]byte, error) {
	var whole []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		whole = append(whole, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(whole, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull) && len(whole) < maxLine:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errLine
		case errors.Is(err, io.EOF):
			return nil, errNoEnd
		default:
			return nil, err
		}
	}
}

// readFirst reads the first event that the caller has not seen.
func (a *Answer) readFirst() error {
	t := a.try
	a.events = newEvents(t.resp.BodyStream(), t.from)
	ev, err := a.nextNew()
	if err != nil {
		return err
	}
	a.first = ev
	return nil
}

// nextNew returns the next event that is not a copy of an earlier one.
func (a *Answer) nextNew() (event, error) {
	t := a.try
	for {
		ev, err := a.events.next()
		if err != nil {
			return event{}, err
		}
		switch t.exchange.Part(t.id, ev.position) {
		case answer.Drop:
			t.server.Metrics.DroppedPart(t.call.Pool.Name)
		case answer.Missing:
			return event{}, errMissing
		case answer.Deliver:
			return ev, nil
		}
	}
}

// Events writes the stream to the caller up to its end mark. A broken stream
// is resumed, or run again, while that is permitted.
func (a *Answer) Events(ctx context.Context, w *bufio.Writer) error {
	ev := a.first
	for {
		if err := write(w, ev); err != nil {
			a.close(err)
			return &GoneError{Cause: err}
		}
		if ev.last {
			a.try.exchange.End(a.try.id, ev.position)
			a.close(nil)
			return nil
		}
		next, err := a.nextNew()
		if err != nil {
			if next, err = a.resume(ctx, err); err != nil {
				return err
			}
		}
		ev = next
	}
}

// GoneError reports that the caller went away.
type GoneError struct {
	Cause error
}

// Error implements error.
func (e *GoneError) Error() string { return "the caller went away: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error { return e.Cause }

func write(w *bufio.Writer, ev event) error {
	if _, err := w.Write(ev.raw); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}

// resume goes on with a broken stream: in the same process after the last
// event that was delivered, or from the start where every run is the same.
func (a *Answer) resume(ctx context.Context, cause error) (event, error) {
	t := a.try
	for {
		lives := t.brokenOff(cause)
		if !t.restart(lives) {
			return event{}, a.cut()
		}
		if refusal := t.next(ctx, false); refusal != nil {
			t.log("not_resumed", refusal)
			return event{}, a.cut()
		}
		if cause = a.load(); cause == nil {
			return a.first, nil
		}
	}
}

// restart chooses where a broken stream goes on. It reports false if there is
// no such place.
func (t *try) restart(lives bool) bool {
	t.only, t.from = "", 0
	if lives && t.exchange.MayResume() {
		t.only = t.target.ID
		t.from = t.exchange.Delivered()
		return true
	}
	return t.exchange.MayRetry()
}

// CutError reports that a stream ended before its end mark.
type CutError struct {
	Refusal *core.Refusal
}

// Error implements error.
func (e *CutError) Error() string { return e.Refusal.Error() }

func (a *Answer) cut() error {
	return &CutError{Refusal: a.try.exchange.Refuse(502, "stream_cut", "the answer broke off and could not be resumed")}
}
