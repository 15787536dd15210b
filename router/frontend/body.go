package frontend

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/exchange"
)

// trackedBody is a response body that is streamed to the caller. It records how
// the body ended when it is closed.
type trackedBody struct {
	server *Server
	call   *exchange.Call
	cancel context.CancelFunc
	body   io.ReadCloser
	// holding is the memory of the request's body, which may be sent again.
	holding *budget.Holding
	// err is the last error of Read; io.EOF at the end of the body.
	err error
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.body.Close()
	b.cancel()
	b.holding.Release()
	switch {
	case errors.Is(b.err, io.EOF):
		b.server.recordEnd(b.call, nil)
	case b.err == nil:
		b.server.recordEnd(b.call, &exchange.CallerGoneError{Cause: io.ErrShortWrite})
	default:
		b.server.recordEnd(b.call, b.err)
	}
	return err
}
