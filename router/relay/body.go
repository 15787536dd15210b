package relay

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxBodyBytes bounds the body of a response that isn't streamed.
	maxBodyBytes = 32 << 20
	// maxBufferedBytes bounds the bodies that the router holds at a time. Small ones
	// are not counted.
	maxBufferedBytes = 32 << 20
	// uncountedBytes is how much of a body isn't counted towards maxBufferedBytes, so
	// that a few very long ones don't fail all others.
	uncountedBytes = 64 << 10
	// bodyStepBytes is how much of a body is read at a time.
	bodyStepBytes = 64 << 10
)

// BodyTooLargeError reports a body that exceeds Limit, a number of bytes.
type BodyTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body of the answer exceeds %d bytes", e.Limit)
}

// bodyReader reads a whole body into memory, within maxBodyBytes for itself and
// maxBufferedBytes for all bodies together.
type bodyReader struct {
	body io.Reader
	// buffered is the number of counted bytes of all bodies, counted that of this one.
	buffered *atomic.Int64
	counted  int64
}

// readAll reads the body. Length is the stated one, negative if there is none.
func (r *bodyReader) readAll(length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, &BodyTooLargeError{Limit: maxBodyBytes}
	}
	var body []byte
	for {
		if free := cap(body) - len(body); free == 0 {
			grown, err := r.grow(body, length)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of body with more room, and counts it.
func (r *bodyReader) grow(body []byte, length int64) ([]byte, error) {
	size := max(2*cap(body), minBodyBytes)
	if length >= 0 {
		// One byte more, so that the end is seen without growing again.
		size = min(max(size, int(min(length+1, bodyStepBytes))), int(length)+1)
	}
	if len(body) >= maxBodyBytes {
		return nil, &BodyTooLargeError{Limit: maxBodyBytes}
	}
	size = min(size, maxBodyBytes+1)
	if more := int64(size) - uncountedBytes - r.counted; more > 0 {
		r.counted += more
		if r.buffered.Add(more) > maxBufferedBytes {
			return nil, &BodyTooLargeError{Limit: maxBufferedBytes}
		}
	}
	grown := make([]byte, len(body), max(size, len(body)+1))
	copy(grown, body)
	return grown, nil
}

// minBodyBytes is the room for a body without a stated length at first.
const minBodyBytes = 4 << 10

// release ends the count of the body.
func (r *bodyReader) release() { r.buffered.Add(-r.counted) }

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
