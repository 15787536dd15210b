package relay

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxBodyBytes bounds the body of a response that isn't streamed.
	maxBodyBytes = 32 << 20
	// maxBufferedBytes bounds the bodies that the router holds at a time, without the
	// first uncountedBytes of each, so that long ones don't fail all short ones.
	maxBufferedBytes = 32 << 20
	uncountedBytes   = 64 << 10
	// initialBodyBytes is the room at first for a body without a stated length.
	initialBodyBytes = 4 << 10
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
		if len(body) == cap(body) {
			grown, err := r.grow(body, int(length))
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of body with twice the room, and counts it. The room is at most
// one byte more than may come, so that the end is seen.
func (r *bodyReader) grow(body []byte, length int) ([]byte, error) {
	if len(body) > maxBodyBytes {
		return nil, &BodyTooLargeError{Limit: maxBodyBytes}
	}
	size, most := max(2*len(body), initialBodyBytes), maxBodyBytes+1
	if length >= 0 {
		size, most = max(size, uncountedBytes), max(length, len(body))+1
	}
	size = min(size, most)
	if more := int64(size) - uncountedBytes - r.counted; more > 0 {
		r.counted += more
		if r.buffered.Add(more) > maxBufferedBytes {
			return nil, &BodyTooLargeError{Limit: maxBufferedBytes, Shared: true}
		}
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// release ends the count of the body.
func (r *bodyReader) release() { r.buffered.Add(-r.counted) }
