package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/router/httpheader"
	"camphorpulley.org/router/relay"
)

// responseWriter writes a response to the caller. It implements
// relay.ResponseWriter.
type responseWriter struct {
	w       http.ResponseWriter
	arrived time.Time
	call    *relay.Call
	// headerLatency is the time from arrival until the header was written; zero if
	// it wasn't.
	headerLatency time.Duration
	status        int
	headerWritten bool
	streaming     bool
	// timeout is how long the caller may take nothing, writeUntil when the write that is under
	// way fails; zero if there was no long one.
	timeout    time.Duration
	writeUntil time.Time
	// caller is the caller's connection; nil if it isn't known. streamed is the number of bytes
	// of a stream that were written.
	caller   *callerConn
	streamed int
	// cut is true once writes must fail.
	cut atomic.Bool
}

// serverFields lists the header fields of the upstream that are left out: net/http sets its
// own, and the others are for routers alone.
var serverFields = []string{"Date", relay.RefusalField, relay.RunsField}

// WriteHeader implements relay.ResponseWriter.
func (rw *responseWriter) WriteHeader(status int, h http.Header, length int) {
	out := rw.w.Header()
	httpheader.CopyEndToEnd(out, h, serverFields)
	if _, ok := out["Content-Type"]; !ok {
		// An explicit nil value stops net/http from detecting a type.
		out["Content-Type"] = nil
	}
	if rw.call.Relayed {
		out.Set(relay.RunsField, strconv.Itoa(rw.call.Runs))
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	rw.streaming = length < 0
	rw.headerWritten = true
	rw.status = status
	rw.headerLatency = time.Since(rw.arrived)
	rw.w.WriteHeader(status)
}

// Write implements relay.ResponseWriter. It flushes streamed responses.
func (rw *responseWriter) Write(p []byte) error {
	length := len(p)
	for len(p) > 0 {
		n := len(p)
		if rw.streaming || n > bufferedBytes {
			n = min(n, pieceBytes)
			rw.extend(time.Now())
		}
		if _, err := rw.w.Write(p[:n]); err != nil {
			return wrap.Err(err, "write")
		}
		p = p[n:]
	}
	if !rw.streaming {
		return nil
	}
	rw.streamed += length
	return wrap.Err(http.NewResponseController(rw.w).Flush(), "flush")
}

// backlogBytes is how much may be on its way to the caller of a stream that keeps up. It is less
// than the kernel's buffers take, so that a write doesn't wait below it.
const backlogBytes = 16 << 10

// Backlogged implements relay.ResponseWriter.
func (rw *responseWriter) Backlogged() bool {
	return rw.caller != nil && rw.streamed > backlogBytes && rw.caller.unsent() > backlogBytes
}

const (
	// defaultWriteTimeout is how long a caller may take nothing of a response. It is far above
	// the time for which a caller that reads at all lets its connection wait.
	defaultWriteTimeout = 30 * time.Second
	// bufferedBytes is the size up to which net/http buffers what is written: the write doesn't
	// wait for the caller.
	bufferedBytes = 2048
	// pieceBytes is how much is written at a time, so that a slow caller shows that it reads.
	pieceBytes = 16 << 10
)

// writeTimeout returns how long a caller may take nothing of a response.
func (h *Handler) writeTimeout() time.Duration {
	if h.WriteTimeout > 0 {
		return h.WriteTimeout
	}
	return defaultWriteTimeout
}

// extend gives the caller the write time-out again. It does nothing if most of it is left, since
// events may follow one another at short intervals.
func (rw *responseWriter) extend(now time.Time) {
	if rw.writeUntil.Sub(now) > rw.timeout*3/4 {
		return
	}
	rw.writeUntil = now.Add(rw.timeout)
	controller := http.NewResponseController(rw.w)
	_ = controller.SetWriteDeadline(rw.writeUntil)
	if rw.cut.Load() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Cut implements relay.ResponseWriter.
func (rw *responseWriter) Cut() {
	rw.cut.Store(true)
	_ = http.NewResponseController(rw.w).SetWriteDeadline(time.Unix(1, 0))
}

// end lifts the write time-out, which would hold for the next response on the connection.
func (rw *responseWriter) end() {
	if rw.writeUntil.IsZero() || rw.cut.Load() {
		return
	}
	controller := http.NewResponseController(rw.w)
	if controller.Flush() == nil {
		_ = controller.SetWriteDeadline(time.Time{})
	}
}
