// Package relay carries requests to upstreams and their answers back: the
// attempts, the streams that go on elsewhere, and what a caller is told.
package relay

import (
	"net/http"
	"time"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/load"
)

// Call is a caller's request that was admitted.
type Call struct {
	fleet.Request
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	HasBody           bool
	// After is the number of the last event that the caller has; HasAfter says
	// that it told one.
	After    int
	HasAfter bool
}

// Attempt is what an upstream is told of one attempt.
type Attempt struct {
	Call   *Call
	Target fleet.Target
	// Left is how long the upstream may work.
	Left time.Duration
	// After is the number of the last event that the caller has.
	After    int
	HasAfter bool
}

// Reply is what an upstream says in the head of an answer.
type Reply struct {
	// ID is the request that the answer belongs to; empty if it doesn't say.
	ID string
	// Signed is set if the answer bears the upstream's signature.
	Signed bool
	// NotRun is set if the upstream says that it has not run the request.
	NotRun bool
	// Misdirected is set if another upstream has the address.
	Misdirected bool
	// Encoded is set if the body isn't as the upstream made it.
	Encoded bool
	// Load is what the upstream says of its load; nil if nothing.
	Load *load.Report
}

// Dialect writes the heads of requests to upstreams and reads those of their
// answers.
type Dialect interface {
	Outgoing(a Attempt) http.Header
	Reply(status int, h http.Header) Reply
}

// Caller takes the answer.
type Caller interface {
	// Head sends the status and header. Length is that of the body in bytes,
	// negative for a stream.
	Head(status int, h http.Header, length int)
	// Write sends a part of the body at once.
	Write(p []byte) error
}
