package frontend

import (
	"net"
	"time"

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
	return &countedConn{Conn: c, entry: l.bound.Add(c), timeout: writeTimeout}, nil
}

// countedConn is the connection of a caller.
type countedConn struct {
	net.Conn
	entry *listener.Entry
	// timeout is how long the caller may take nothing, writeUntil when a write fails. The
	// writer alone uses it.
	timeout    time.Duration
	writeUntil time.Time
}

const (
	// writeTimeout is how long a caller may take nothing of a response. It is far above the time
	// for which a caller that reads at all lets its connection wait.
	writeTimeout = 30 * time.Second
	// pieceBytes is how much is written at a time, so that a slow caller shows that it reads.
	pieceBytes = 16 << 10
)

// Write implements net.Conn. It fails once the caller takes nothing for the time-out.
func (c *countedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if now := time.Now(); c.writeUntil.Sub(now) <= c.timeout*3/4 {
			c.writeUntil = now.Add(c.timeout)
			if err := c.SetWriteDeadline(c.writeUntil); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[:min(len(p), pieceBytes)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
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
