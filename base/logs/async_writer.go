package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter queues lines and writes them to another writer on a goroutine of
// its own, so that logging never blocks. Lines that find the queue full or cannot
// be written are dropped and counted, and the count is written before the next
// line.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

const (
	// queueLength is the capacity of the queue: one second of the busiest log.
	queueLength = 4096
	// flushTimeout bounds Sync, and so the wait for the last lines of a process.
	flushTimeout = 200 * time.Millisecond
)

// NewAsyncWriter starts a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queueLength), flush: make(chan chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in
// the output yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Sync waits until the queued lines are written, but no longer than
// flushTimeout. It never fails.
func (w *AsyncWriter) Sync() error {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case w.flush <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (w *AsyncWriter) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				w.write(out, <-w.lines)
			}
			close(done)
		}
	}
}

func (w *AsyncWriter) write(out io.Writer, line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		report := fmt.Sprintf("level=warn event=lines_dropped count=%d why=reader_slow\n", n)
		if _, err := io.WriteString(out, report); err != nil {
			w.dropped.Add(n)
		}
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
