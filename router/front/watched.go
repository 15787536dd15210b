package front

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"camphorpulley.org/router/exchange"
)

// watched is a body that is passed on as it comes. It records how it ended.
type watched struct {
	front  *Front
	call   *exchange.Call
	cancel context.CancelFunc
	body   io.ReadCloser
	err    error
}

// Read implements io.Reader.
func (b *watched) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *watched) Close() error {
	err := b.body.Close()
	b.cancel()
	switch {
	case errors.Is(b.err, io.EOF):
		b.front.ended(b.call, nil)
	case b.err == nil:
		b.front.ended(b.call, &exchange.CallerGoneError{Cause: io.ErrShortWrite})
	default:
		b.front.ended(b.call, b.err)
	}
	return err
}
