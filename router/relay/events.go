package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// event is one event of a stream.
type event struct {
	// raw is the whole event with the empty line at its end.
	raw []byte
	// number is the event's id; numbered says that it has one.
	number   int
	numbered bool
}

// errTorn means that a stream ended inside an event.
var errTorn = errors.New("the stream ended inside an event")

// largestEvent bounds an event in bytes.
const largestEvent = 1 << 20

// errLarge means that an event is larger than largestEvent.
var errLarge = errors.New("an event of the stream is too large")

// events reads the events of a stream.
type events struct {
	reader *bufio.Reader
}

// eventBuffer is the size of the buffer in bytes; a longer line is put together.
const eventBuffer = 1024

func newEvents(r io.Reader) *events {
	return &events{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event. The error is io.EOF at a proper end.
func (s *events) next() (event, error) {
	var e event
	for {
		line, err := s.reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw)+len(line) > 0 {
				return e, errTorn
			}
			return e, err
		}
		e.raw = append(e.raw, line...)
		if len(e.raw) > largestEvent {
			return e, errLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			e.number, e.numbered = n, err == nil
		}
	}
}
