package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// event is a server-sent event.
type event struct {
	// raw holds the bytes of the event with the empty line at its end.
	raw []byte
	// id is the number in the event's id field. It is valid if hasID is true.
	id    int
	hasID bool
	// empty is true if the event has no fields: upstreams send comments and empty lines
	// to keep connections open.
	empty bool
}

// errTruncatedEvent means that a stream ended inside an event.
var errTruncatedEvent = errors.New("the stream ended inside an event")

// maxEventBytes is the size above which an event is refused.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader reads server-sent events from a stream.
type eventReader struct {
	reader *bufio.Reader
}

// eventBufferBytes is the size of the read buffer. Lines may be longer.
const eventBufferBytes = 1024

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next event. The error is io.EOF if the stream ended between
// two events, otherwise errTruncatedEvent, errEventTooLarge or that of the
// connection.
func (r *eventReader) next() (event, error) {
	e := event{empty: true}
	for {
		start := len(e.raw)
		if err := r.appendLine(&e); err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return e, errTruncatedEvent
			}
			return e, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.empty = e.empty && line[0] == ':'
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			e.id, e.hasID = n, err == nil
		}
	}
}

// appendLine reads a line and appends it to the event. It returns errEventTooLarge as
// soon as the event is too large, also within a line.
func (r *eventReader) appendLine(e *event) error {
	for {
		piece, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, piece...)
		if len(e.raw) > maxEventBytes {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
