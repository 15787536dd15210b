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
}

// errTruncatedEvent means that a stream ended inside an event.
var errTruncatedEvent = errors.New("the stream ended inside an event")

// maxEventBytes is the size above which an event is refused. It is checked after
// each whole line.
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
	var e event
	for {
		line, err := r.reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw)+len(line) > 0 {
				return e, errTruncatedEvent
			}
			return e, err
		}
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			e.id, e.hasID = n, err == nil
		}
	}
}
