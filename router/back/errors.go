package back

import (
	"fmt"

	"camphorpulley.org/core"
)

// DialError reports that no connection to an upstream could be made. Nothing
// was sent.
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

// BootError reports that an upstream runs another process than the one for
// which the permit was granted. Nothing was sent.
type BootError struct {
	Upstream core.UpstreamID
	Boot     string
}

// Error implements error.
func (e *BootError) Error() string {
	return fmt.Sprintf("upstream %s has restarted as %s", e.Upstream, e.Boot)
}

// BrokenError reports that an exchange broke after bytes were handed to a
// connection.
type BrokenError struct {
	Upstream core.UpstreamID
	Cause    error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with upstream %s broke: %v", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
