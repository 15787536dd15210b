package gateway

import (
	"net/http"
	"strconv"
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
	if _, err := rw.w.Write(p); err != nil {
		return wrap.Err(err, "write")
	}
	if !rw.streaming {
		return nil
	}
	return wrap.Err(http.NewResponseController(rw.w).Flush(), "flush")
}
