// Package dial opens TCP connections. A connection that was lost doesn't look like one that
// the peer has closed, and one whose peer has stopped to acknowledge data fails.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorpulley.org/base/wrap"
)

// UserTimeout is how long sent bytes may stay unacknowledged before a
// connection fails: well above the time of a retransmission, and below the
// time-outs of callers.
const UserTimeout = time.Second

// TCP opens a TCP connection over IPv4, or fails once timeout has passed. The kernel closes
// the connection once sent bytes stay unacknowledged for UserTimeout, and also once the peer
// has read nothing for that long while bytes wait to be sent. It is a *Conn.
func TCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	c, err := open(ctx, address, timeout, setUserTimeout)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Open is like TCP, except that the peer may read as late as it likes while it acknowledges
// what it is sent. A Read fails once sent bytes stay unacknowledged for UserTimeout.
func Open(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	c, err := open(ctx, address, timeout, nil)
	if err != nil {
		return nil, err
	}
	c.checked = true
	return c, nil
}

func open(ctx context.Context, address string, timeout time.Duration, control func(network, address string, raw syscall.RawConn) error) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: control}
	raw, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, wrap.Err(err, "connect")
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, wrap.Err(net.UnknownNetworkError(raw.LocalAddr().Network()), "connect")
	}
	return &Conn{Conn: tcp, tcp: tcp}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
