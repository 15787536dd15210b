package httpclient

import (
	"fmt"
	"io"
)

// maxHeadBytes bounds the status lines and headers that are read for one request,
// interim responses and trailers included.
const maxHeadBytes = 64 << 10

// HeadTooLargeError reports that a response's head didn't end within Limit bytes.
type HeadTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is longer than %d bytes", e.Limit)
}

// headLimit reads from a connection. While a head is expected it fails after
// maxHeadBytes: net/http itself reads lines and fields of any length.
type headLimit struct {
	conn io.Reader
	// remaining is the number of bytes that may still be read; it counts only while
	// limited is true.
	remaining int
	limited   bool
}

// expectHead begins to count.
func (l *headLimit) expectHead() { l.remaining, l.limited = maxHeadBytes, true }

// endHead lifts the limit: whoever reads the body bounds it.
func (l *headLimit) endHead() { l.limited = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
