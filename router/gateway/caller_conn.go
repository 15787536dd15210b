package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/base/listener"
)

// callerCheckInterval is the time between two checks whether a caller has left that has sent
// bytes after its request.
const callerCheckInterval = 100 * time.Millisecond

// WatchCallers returns a listener to serve s on, so that the context of a request also ends
// when its caller leaves after it has sent bytes behind the request. While a request is
// handled, net/http reads a single byte to notice the end of the connection; once there is
// one, it reads no further.
//
// Bound bounds the connections; nil doesn't.
func WatchCallers(s *http.Server, ln net.Listener, bound *listener.Bound) net.Listener {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if caller, ok := c.(*callerConn); ok && state == http.StateIdle {
			caller.entry.SetIdle()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if caller, ok := c.(*callerConn); ok {
			caller.ctx, caller.end = context.WithCancel(ctx)
			return context.WithValue(caller.ctx, callerKey{}, caller)
		}
		return ctx
	}
	return callerListener{Listener: ln, bound: bound}
}

// callerKey is the key of a *callerConn in the context of its requests.
type callerKey struct{}

// callerOf returns the connection of a request, from its context; nil if it isn't known.
func callerOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerKey{}).(*callerConn)
	return c
}

// setIdle records that the connection has no complete request, as of now.
func (c *callerConn) setIdle() {
	if c != nil {
		c.entry.SetIdle()
	}
}

// setBusy records that the connection has a request, which is complete.
func (c *callerConn) setBusy() {
	if c != nil {
		c.entry.SetBusy()
	}
}

// unsent returns how many bytes that were written haven't reached the caller yet.
func (c *callerConn) unsent() int {
	return dial.Unsent(c.TCPConn)
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	bound *listener.Bound
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &callerConn{TCPConn: tcp, end: func() {}, entry: l.bound.Add(tcp)}, nil
	}
	return c, err
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	// entry counts the connection; nil if it isn't bounded.
	entry *listener.Entry
	// ctx is the context of all requests on the connection, and end ends it.
	ctx context.Context
	end context.CancelFunc
	// stopWatch ends the watch; nil if there is none. The reader alone uses it.
	stopWatch context.CancelFunc
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.stopWatch != nil {
		c.stopWatch()
		c.stopWatch = nil
	}
	n, err := c.TCPConn.Read(p)
	if n == 1 && len(p) == 1 && c.ctx != nil {
		var watched context.Context
		watched, c.stopWatch = context.WithCancel(c.ctx)
		go c.watch(watched)
	}
	return n, err
}

// watch ends the requests once the caller has left.
func (c *callerConn) watch(ctx context.Context) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ctx.Err() == nil && dial.Ended(c.TCPConn) {
			c.end()
			return
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.end()
	c.entry.Remove()
	return c.TCPConn.Close()
}
