// Package listener holds a network listener whose connections can be cut.
package listener

import (
	"net"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core/table"
)

// Listener remembers its open connections.
type Listener struct {
	net.Listener
	conns table.Cell[map[*trackedConn]struct{}]
}

// Listen opens a TCP listener.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, wrap.Err(err, "listen")
	}
	return &Listener{Listener: ln}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.conns.Do(table.Hold{}, func(_ table.Hold, conns *map[*trackedConn]struct{}) {
		if *conns == nil {
			*conns = map[*trackedConn]struct{}{}
		}
		(*conns)[tracked] = struct{}{}
	})
	return tracked, nil
}

// Cut closes all open connections.
func (l *Listener) Cut() {
	l.conns.Do(table.Hold{}, func(_ table.Hold, conns *map[*trackedConn]struct{}) {
		for c := range *conns {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				// A reset is what a peer sees of a crashed process.
				_ = tcp.SetLinger(0)
			}
			_ = c.Conn.Close()
		}
	})
}

type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.conns.Do(table.Hold{}, func(_ table.Hold, conns *map[*trackedConn]struct{}) { delete(*conns, c) })
	return c.Conn.Close()
}
