// Package listener holds a network listener whose connections can be cut.
package listener

import (
	"net"
	"sync"

	"camphorpulley.org/base/wrap"
)

// Listener remembers its open connections.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen opens a TCP listener.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, wrap.Err(err, "listen")
	}
	return &Listener{Listener: ln, conns: map[net.Conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[tracked] = struct{}{}
	l.mu.Unlock()
	return tracked, nil
}

// Cut closes all open connections.
func (l *Listener) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*trackedConn); ok {
			if tcp, ok := t.Conn.(*net.TCPConn); ok {
				// A reset is what a peer sees of a crashed process.
				_ = tcp.SetLinger(0)
			}
			_ = t.Conn.Close()
		}
	}
}

type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
