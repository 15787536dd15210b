package relay

import (
	"context"

	"camphorpulley.org/core/table"
	"camphorpulley.org/router/budget"
)

// maxAheadBytes bounds what is read ahead of a stream that its caller reads slowly. Longer ones
// go on as fast as the caller reads.
const maxAheadBytes = 1 << 20

// readAhead holds the events of a stream that the caller hasn't taken yet, so that the upstream
// isn't held up by a slow caller: one that waits long cuts the stream off, and holds its request
// in memory meanwhile. A goroutine writes the events to the caller.
type readAhead struct {
	writer  ResponseWriter
	holding *budget.Holding
	queue   table.Cell[eventQueue]
	// added and taken are signalled when the queue has got more, and when it has less or has
	// failed. ended is closed once the goroutine has ended.
	added, taken, ended chan struct{}
}

// eventQueue is what waits for the caller.
type eventQueue struct {
	events [][]byte
	// bytes is the size of the events, written what the caller has taken before.
	bytes, written int
	// acquired is the largest size so far, which the holding has.
	acquired int
	// closed is true once no more is added, and err is the error of the first write that failed.
	closed bool
	err    error
}

func newReadAhead(w ResponseWriter, h *budget.Holding) *readAhead {
	r := &readAhead{
		writer: w, holding: h, added: make(chan struct{}, 1), taken: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	go r.run()
	return r
}

// signal makes one goroutine that waits for c go on, or the next one that will.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// add adds an event, and waits while more than maxAheadBytes are ahead. The error is a
// *CallerWriteError.
func (r *readAhead) add(ctx context.Context, event []byte) error {
	for {
		var err error
		full, grown, written := false, 0, 0
		r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) {
			err, written = q.err, q.written
			full = q.bytes > 0 && q.bytes+len(event) > maxAheadBytes
			if grown = q.bytes + len(event) - q.acquired; !full {
				q.acquired = max(q.acquired, q.bytes+len(event))
			}
		})
		if err == nil && !full && grown > 0 {
			err = r.holding.Acquire(grown, int64(written))
		}
		if err != nil {
			return &CallerWriteError{Cause: err}
		}
		if !full {
			break
		}
		select {
		case <-r.taken:
		case <-ctx.Done():
			return &CallerWriteError{Cause: ctx.Err()}
		}
	}
	r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) {
		q.events = append(q.events, event)
		q.bytes += len(event)
	})
	signal(r.added)
	return nil
}

// run writes the events to the caller until the queue is closed and empty, or a write fails.
func (r *readAhead) run() {
	defer close(r.ended)
	// After a write that failed, nothing is held until the attempt notices.
	defer r.drop()
	for {
		var events [][]byte
		closed := false
		r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) {
			events, closed = q.events, q.closed
			q.events = nil
		})
		if len(events) == 0 {
			if closed {
				return
			}
			<-r.added
		}
		for _, event := range events {
			if !r.write(event) {
				return
			}
		}
	}
}

// write writes one event to the caller. It returns false if that failed.
func (r *readAhead) write(event []byte) bool {
	err := r.writer.Write(event)
	written := 0
	r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) {
		q.bytes -= len(event)
		q.written += len(event)
		q.err, written = err, q.written
	})
	r.holding.Advance(int64(written))
	signal(r.taken)
	return err == nil
}

// drop ends the holding. What is added later fails.
func (r *readAhead) drop() {
	r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) { q.events = nil })
	r.holding.Release()
}

// finish waits until the caller has taken all events, or ctx ends. The error is that of the first
// write that failed.
func (r *readAhead) finish(ctx context.Context) error {
	r.queue.Do(table.Hold{}, func(_ table.Hold, q *eventQueue) { q.closed = true })
	signal(r.added)
	stop := context.AfterFunc(ctx, r.writer.Cut)
	<-r.ended
	stop()
	return table.Read(&r.queue, table.Hold{}, func(q *eventQueue) error { return q.err })
}

// write passes an event on to the caller. While the caller takes the events as they arrive,
// they are written at once.
func (s *callState) write(event []byte) error {
	if s.ahead == nil {
		if !s.writer.Backlogged() {
			if err := s.writer.Write(event); err != nil {
				return &CallerWriteError{Cause: err}
			}
			return nil
		}
		s.ahead = newReadAhead(s.writer, s.forwarder.Memory.Begin(s.Client, s.writer.Cut))
	}
	return s.ahead.add(s.ctx, event)
}

// finishAhead waits until the caller has taken what was read ahead. It returns the error of the
// call: err, or a *CallerWriteError if the caller hasn't taken all of a stream that is complete.
func (s *callState) finishAhead(err error) error {
	if s.ahead == nil {
		return err
	}
	if writeErr := s.ahead.finish(s.ctx); writeErr != nil && err == nil {
		return &IncompleteResponseError{Cause: &CallerWriteError{Cause: writeErr}}
	}
	return err
}
