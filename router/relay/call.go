// Package relay forwards the requests that package gateway has admitted to
// upstreams, and their responses to callers. It serves the program
// camphorpulley-platform; package exchange does the same for the program
// camphorpulley. It retries failed attempts, resumes broken streams at another
// upstream, and returns a refusal if no attempt succeeds.
package relay

import (
	"net/http"
	"time"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/statement"
	"camphorpulley.org/router/blocks"
)

// Call is an admitted request of a caller.
type Call struct {
	fleet.Request
	Method, URI, Host string
	Header            http.Header
	Body              blocks.Body
	// HasBody reports whether the caller sent a body, even an empty one.
	HasBody bool
	// Client is whom memory is held for: the account, or else the caller's address.
	Client string
	// LastEventID is the number of the last event that the caller has received.
	// It is valid if HasLastEventID is true.
	LastEventID    int
	HasLastEventID bool
	// Runs is how often upstreams may have run the request, also for another router that has
	// sent it before. Forward counts on.
	Runs int
}

// AttemptInfo holds what the header of an attempt's request is made from.
type AttemptInfo struct {
	Call   *Call
	Target fleet.Target
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// LastEventID is the number of the last event that the caller has received.
	// It is valid if HasLastEventID is true.
	LastEventID    int
	HasLastEventID bool
}

// ResponseHeaders holds what a HeaderCodec has parsed from the header of an
// upstream's response.
type ResponseHeaders struct {
	// RequestID is the request that the response belongs to; empty if the header
	// doesn't state one.
	RequestID string
	// Signed reports whether the header has a signature. A success without one isn't
	// taken for the upstream's own.
	Signed bool
	// NotRun reports whether the upstream states that it has not run the request.
	NotRun bool
	// Misdirected reports whether the address belongs to another upstream.
	Misdirected bool
	// Encoded reports whether the body has a content encoding, so that it isn't
	// as the upstream produced it.
	Encoded bool
	// Load is the load that the upstream reports; nil if it reports none.
	Load *load.Report
	// LoadRefused is the load report, cut to a bounded length, if a figure in it was refused;
	// else empty.
	LoadRefused string
	// Says is what the upstream says about itself.
	Says statement.Answer
}

// HeaderCodec creates the headers of requests to upstreams and parses those of
// their responses.
type HeaderCodec interface {
	// AttemptHeader returns the header of the request that is sent for an attempt.
	AttemptHeader(a AttemptInfo) http.Header
	// ParseResponse returns the fields that the header of a response holds.
	ParseResponse(status int, h http.Header) ResponseHeaders
	// DetourHeader returns the header of the request that is sent to another router: that
	// of the caller, with the time and the events that are left.
	DetourHeader(a AttemptInfo) http.Header
}

// ResponseWriter writes a response to the caller.
type ResponseWriter interface {
	// WriteHeader sends the status and the header. Length is that of the body in
	// bytes, negative for a stream.
	WriteHeader(status int, h http.Header, length int)
	// Write sends a part of the body. Parts of a stream are sent without delay.
	Write(p []byte) error
	// Backlogged reports whether much of what was written hasn't reached the caller yet, so that
	// the next Write may wait.
	Backlogged() bool
	// Cut makes this and all further writes fail. Any goroutine may call it.
	Cut()
}
