package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer passes lines on to another writer without ever making the one who
// logs wait. Lines that find the queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

const (
	// queueLength is the number of lines that wait: a second of the busiest log.
	queueLength = 4096
	// flushTimeout bounds the wait for the last lines of a process.
	flushTimeout = 200 * time.Millisecond
)

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLength), flush: make(chan chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Sync waits for a moment until the lines before it are written.
func (w *Writer) Sync() error {
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

func (w *Writer) run(out io.Writer) {
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

func (w *Writer) write(out io.Writer, line []byte) {
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
