package relay

import (
	"fmt"
	"io"
	"sync/atomic"

	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
)

const (
	// maxBodyBytes bounds the body of a response that isn't streamed.
	maxBodyBytes = 32 << 20
	// maxBufferedBytes bounds the bodies that the router holds at a time, without the
	// first uncountedBytes of each, so that long ones don't fail all short ones.
	maxBufferedBytes = 32 << 20
	uncountedBytes   = 64 << 10
)

// BodyTooLargeError reports a body that exceeds Limit, a number of bytes. Shared is true
// if all bodies together exceed it.
type BodyTooLargeError struct {
	Limit  int
	Shared bool
}

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	if e.Shared {
		return fmt.Sprintf("all bodies of answers together exceed %d bytes", e.Limit)
	}
	return fmt.Sprintf("the body of the answer exceeds %d bytes", e.Limit)
}

// bodyReader reads a whole body into memory, within maxBodyBytes for itself,
// maxBufferedBytes for all bodies together, and the budget of the router.
type bodyReader struct {
	body io.Reader
	// buffered is the number of counted bytes of all bodies, counted that of this one.
	buffered *atomic.Int64
	counted  int64
	holding  *budget.Holding
}

// readAll reads the body. Length is the stated one, negative if there is none.
func (r *bodyReader) readAll(length int64) (blocks.Body, error) {
	if length > maxBodyBytes {
		return nil, &BodyTooLargeError{Limit: maxBodyBytes}
	}
	body, err := blocks.Reader{Source: r.body, Length: length, Acquire: r.acquire}.ReadAll()
	if err == nil && body.Len() > maxBodyBytes {
		err = &BodyTooLargeError{Limit: maxBodyBytes}
	}
	if err != nil {
		body.Recycle()
		return nil, err
	}
	return body, nil
}

// acquire counts n more bytes of a body of which some bytes were read.
func (r *bodyReader) acquire(n, bytes int) error {
	if bytes > maxBodyBytes {
		return &BodyTooLargeError{Limit: maxBodyBytes}
	}
	if more := int64(bytes+n) - uncountedBytes - r.counted; more > 0 {
		r.counted += more
		if r.buffered.Add(more) > maxBufferedBytes {
			return &BodyTooLargeError{Limit: maxBufferedBytes, Shared: true}
		}
	}
	return r.holding.Acquire(n, int64(bytes))
}

// release ends the count of the body.
func (r *bodyReader) release() {
	r.buffered.Add(-r.counted)
	r.holding.Release()
}

// writeBody writes a body to the caller. A long one may be cut off while the caller reads
// slower than others whose responses are held.
func (a *attempt) writeBody(body blocks.Body, h *budget.Holding) error {
	if len(body) > 1 {
		h.Unpin(a.writer.Cut)
	}
	written := 0
	for _, block := range body {
		if err := a.writer.Write(block); err != nil {
			return &CallerWriteError{Cause: err}
		}
		if written += len(block); len(body) > 1 {
			h.Advance(int64(written))
		}
	}
	return nil
}
