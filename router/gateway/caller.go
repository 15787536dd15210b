package gateway

import (
	"net/http"
	"strconv"
	"time"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/router/hop"
)

// caller passes an answer on to the one who asked.
type caller struct {
	w       http.ResponseWriter
	arrived time.Time
	// first is the time to the first byte.
	first  time.Duration
	status int
	begun  bool
	stream bool
}

// ownFields lists the fields that the server sets itself.
var ownFields = []string{"Date"}

// Head implements relay.Caller.
func (c *caller) Head(status int, h http.Header, length int) {
	out := c.w.Header()
	hop.Copy(out, h, ownFields)
	if _, ok := out["Content-Type"]; !ok {
		// No value keeps the server from guessing one.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	c.stream = length < 0
	c.begun = true
	c.status = status
	c.first = time.Since(c.arrived)
	c.w.WriteHeader(status)
}

// Write implements relay.Caller.
func (c *caller) Write(p []byte) error {
	if _, err := c.w.Write(p); err != nil {
		return wrap.Err(err, "write to the caller")
	}
	if !c.stream {
		return nil
	}
	return wrap.Err(http.NewResponseController(c.w).Flush(), "write to the caller")
}
