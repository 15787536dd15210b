package dial

import (
	"fmt"
	"io"
)

// HeadTooLargeError reports that the head of a response didn't end within Limit bytes.
type HeadTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is longer than %d bytes", e.Limit)
}

// HeadLimit reads from Source. While a head is expected it fails after a number of bytes:
// net/http itself reads lines and fields of any length.
type HeadLimit struct {
	Source io.Reader
	// limit is the number of bytes of a head, remaining how many may still be read; they
	// count only while limited is true.
	limit, remaining int
	limited          bool
}

// Expect begins to count the bytes of heads, at most limit of them.
func (l *HeadLimit) Expect(limit int) { l.limit, l.remaining, l.limited = limit, limit, true }

// End lifts the limit: whoever reads what follows bounds it.
func (l *HeadLimit) End() { l.limited = false }

// Read implements io.Reader.
func (l *HeadLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, &HeadTooLargeError{Limit: l.limit}
	}
	n, err := l.Source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
