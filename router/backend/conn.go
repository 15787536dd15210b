package backend

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// upstreamConn is a connection whose reads fail if no bytes arrive for idleTimeout
// after a response has begun. Before that, the deadline of the request applies. It
// refuses to carry a request after a response that didn't make it reusable.
type upstreamConn struct {
	net.Conn
	idleTimeout time.Duration
	responding  bool
	reusable    atomic.Bool
	status      statusCheck
	// carried is true if the connection has carried another request before the present
	// one, and loadReported if a load report was read on it first.
	carried, loadReported bool
}

// errNotReusable means that a connection may not carry another request. Nothing was
// sent.
var errNotReusable = errors.New("connection may not carry another request")

// spent reports whether the connection has carried a response that didn't make it
// reusable, or has been closed or received bytes since.
func (c *upstreamConn) spent() bool { return c.responding && (!c.reusable.Load() || !c.idle()) }

// idle reports whether the connection is open and holds no bytes.
func (c *upstreamConn) idle() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var peeked [1]byte
	var cause error
	err = raw.Control(func(fd uintptr) {
		_, _, cause = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(cause, syscall.EAGAIN)
}

// SetWriteDeadline implements net.Conn. The library calls it before each request.
func (c *upstreamConn) SetWriteDeadline(t time.Time) error {
	if c.spent() {
		return errNotReusable
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. After a response it starts a new request.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if c.spent() {
		return 0, errNotReusable
	}
	c.carried = c.carried || c.responding
	c.responding = false
	c.status = statusCheck{}
	c.reusable.Store(false)
	return c.Conn.Write(p)
}

// Read implements net.Conn. It sets the read deadline if a response has begun.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if c.responding {
		if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responding = true
		if statusErr := c.status.check(p[:n]); statusErr != nil {
			return 0, statusErr
		}
	}
	return n, err
}

// LocalAddr implements net.Conn. The library tells the connection of a response only
// by its addresses.
func (c *upstreamConn) LocalAddr() net.Addr { return connAddr{Addr: c.Conn.LocalAddr(), conn: c} }

// connAddr is the local address of a connection.
type connAddr struct {
	net.Addr
	conn *upstreamConn
}

const (
	// HeaderRequest is the header that holds a request's id, in requests to upstreams and in
	// their responses.
	HeaderRequest = "X-Request-Id"
	// headerOutcome is the header by which an upstream states that it has refused a
	// request.
	headerOutcome = "X-Outcome"
)

// checkResponse returns an error, and leaves the connection, if a response carries the id
// of another request, or none where it may be a copy of an earlier response. Only a
// response with the id of its request lets the connection carry others, except a refusal:
// copies of others may come in place of the next response.
func checkResponse(req *fasthttp.Request, resp *fasthttp.Response) error {
	local, ok := resp.LocalAddr().(connAddr)
	if !ok {
		return nil
	}
	c := local.conn
	want, got := string(req.Header.Peek(HeaderRequest)), string(resp.Header.Peek(HeaderRequest))
	refused := len(resp.Header.Peek(headerOutcome)) > 0
	switch {
	case got == want && !refused:
		c.reusable.Store(true)
	case got == want || got == "" && !c.mayBeCopy(resp):
		c.leave(resp)
	default:
		c.leave(resp)
		_ = resp.CloseBodyStream()
		return &MismatchedResponseError{Want: want, Got: got}
	}
	return nil
}

// mayBeCopy reports whether a response without an id may be a copy of an earlier one on the
// connection: of that to another request, or of a load report, which is a success.
func (c *upstreamConn) mayBeCopy(resp *fasthttp.Response) bool {
	return c.carried || c.loadReported && resp.StatusCode() == fasthttp.StatusOK
}

// leave closes the connection once the body of the response is closed, or at once if it
// has none: the library has then put the connection into its pool.
func (c *upstreamConn) leave(resp *fasthttp.Response) {
	resp.SetConnectionClose()
	if resp.BodyStream() == nil {
		_ = c.Close()
	}
}
