package httpclient

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/base/dial"
)

// Wait bounds the wait for bytes of an upstream.
type Wait struct {
	// Until is when the wait ends.
	Until time.Time
	// Overdue is called by the reader if nothing has come by then. It returns until when to
	// wait on, or zero to fail with a time-out. A nil func fails.
	Overdue func(now time.Time) time.Time
}

// boundedWait reads from and writes to a connection within a Wait. Only the reader of the
// connection may use it.
type boundedWait struct {
	conn *dial.Conn
	wait Wait
}

// set replaces the wait. Writes of the reader are bounded in the same way.
func (b *boundedWait) set(w Wait) error {
	b.wait = w
	return b.conn.SetReadDeadline(w.Until)
}

// extend asks whether to wait on, and does so if the answer is yes.
func (b *boundedWait) extend(now time.Time) bool {
	if b.wait.Overdue == nil {
		return false
	}
	b.wait.Until = b.wait.Overdue(now)
	return !b.wait.Until.IsZero() && b.set(b.wait) == nil
}

// Read implements io.Reader.
func (b *boundedWait) Read(p []byte) (int, error) {
	for {
		n, err := b.conn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !b.extend(time.Now()) {
			return n, err
		}
	}
}

// write writes p before the response is read.
func (b *boundedWait) write(p []byte) error {
	for {
		if err := b.conn.SetWriteDeadline(b.wait.Until); err != nil {
			return err
		}
		n, err := b.conn.Write(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !b.extend(time.Now()) {
			return err
		}
		p = p[n:]
	}
}
