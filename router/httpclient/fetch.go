package httpclient

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"camphorpulley.org/base/wrap"
)

// errNotReusable means that a connection can't carry another request after a response.
var errNotReusable = errors.New("the upstream doesn't keep the connection")

// Fetch sends a request without an id and reads the whole response, of maxBytes at most, so that the
// connection can carry another request to the same process. CheckHead is that of Do. The
// connection is closed after an error.
func (c *Conn) Fetch(ctx context.Context, r Request, w Wait, maxBytes int64, checkHead func(status int, h http.Header) error) (status int, body []byte, err error) {
	resp, err := c.Do(ctx, r, w, checkHead)
	if err != nil {
		return 0, nil, err
	}
	// One byte more shows that the body is too long; the end is then not reached.
	body, err = io.ReadAll(io.LimitReader(resp, maxBytes+1))
	if err == nil && (!resp.complete || resp.Close || !isPersistent(resp.Header) || c.Reader.Buffered() > 0) {
		err = errNotReusable
	}
	if err == nil {
		err = <-resp.writeResult
	}
	if err == nil && !resp.detach() {
		err = ctx.Err()
	}
	if err != nil {
		resp.Abort()
		return 0, nil, wrap.Err(err, "fetch")
	}
	c.reused = true
	c.unnamed = true
	return resp.StatusCode, body, nil
}
