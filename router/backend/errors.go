package backend

import (
	"fmt"

	"camphorpulley.org/core"
)

// DialError reports that no usable connection to an upstream could be opened.
// Nothing was sent.
type DialError struct {
	Upstream core.UpstreamID
	Cause    error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("no connection to upstream %s: %v", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// BootMismatchError reports that an upstream runs another process than the one
// that was known. Nothing was sent. Boot names the process that it runs.
type BootMismatchError struct {
	Upstream core.UpstreamID
	Boot     string
}

// Error implements error.
func (e *BootMismatchError) Error() string {
	return fmt.Sprintf("upstream %s runs process %s, not the one that was known", e.Upstream, e.Boot)
}

// BrokenError reports that an exchange failed after bytes of the request were
// handed to a connection.
type BrokenError struct {
	Upstream core.UpstreamID
	Cause    error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with upstream %s interrupted: %v", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// MismatchedResponseError reports a response that carries the id of another
// request, or none where it may belong to another request.
type MismatchedResponseError struct {
	Want, Got string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	if e.Got == "" {
		return "got response without a request id on a connection that has carried other requests, want " + e.Want
	}
	return "got response for request " + e.Got + ", want " + e.Want
}
