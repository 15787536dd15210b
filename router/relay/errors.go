package relay

// IncompleteResponseError reports a response that has been sent to the caller in
// part and can't be completed.
type IncompleteResponseError struct {
	Cause error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string { return "response incomplete: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// CallerWriteError reports that writing the response to the caller failed.
type CallerWriteError struct {
	Cause error
}

// Error implements error.
func (e *CallerWriteError) Error() string {
	return "response not delivered to caller: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerWriteError) Unwrap() error { return e.Cause }
