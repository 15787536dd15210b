package frontend

import (
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/base/listener"
)

// Listen serves callers on an address. The connections are bounded by s.Conns, and bufferBytes is
// the size of the kernel's buffers of each; zero leaves it to the kernel.
func (s *Server) Listen(app *fiber.App, address string, bufferBytes int) error {
	ln, err := listener.ListenBuffered(address, bufferBytes)
	if err != nil {
		return err
	}
	app.Server().ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if counted, ok := c.(*countedConn); ok && state == fasthttp.StateIdle {
			counted.setIdle()
		}
	}
	return app.Listener(countingListener{Listener: ln, bound: s.Conns})
}

// countingListener accepts the connections of callers, and counts them.
type countingListener struct {
	net.Listener
	bound *listener.Bound
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, entry: l.bound.Add(c)}, nil
}

// countedConn is the connection of a caller.
type countedConn struct {
	net.Conn
	entry *listener.Entry
}

// setIdle records that the connection has no complete request, as of now.
func (c *countedConn) setIdle() {
	if c != nil {
		c.entry.SetIdle()
	}
}

// setBusy records that the connection has a request, which is complete.
func (c *countedConn) setBusy() {
	if c != nil {
		c.entry.SetBusy()
	}
}

// Close implements net.Conn and ends the count.
func (c *countedConn) Close() error {
	c.entry.Remove()
	return c.Conn.Close()
}
