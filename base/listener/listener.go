// Package listener provides a TCP listener that can reset its connections.
package listener

import (
	"net"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core/table"
)

// Listener is a net.Listener that tracks the connections it has accepted.
type Listener struct {
	net.Listener
	conns table.Cell[map[*trackedConn]struct{}]
}

// Listen opens a listener on a TCP address over IPv4.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, wrap.Err(err, "listen")
	}
	return &Listener{Listener: ln}, nil
}

// Accept implements net.Listener. The connection is tracked until its Close.
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

// ResetConnections closes all open connections with a TCP reset. The listener
// itself stays open.
func (l *Listener) ResetConnections() {
	l.conns.Do(table.Hold{}, func(_ table.Hold, conns *map[*trackedConn]struct{}) {
		for c := range *conns {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				// Without lingering, Close sends a reset, as after a crash.
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

// Close implements net.Conn and ends the tracking.
func (c *trackedConn) Close() error {
	c.listener.conns.Do(table.Hold{}, func(_ table.Hold, conns *map[*trackedConn]struct{}) { delete(*conns, c) })
	return c.Conn.Close()
}
