// Package dial opens TCP connections that notice a silent other end.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorpulley.org/base/wrap"
)

// Silence is how long sent bytes may stay unacknowledged before a connection
// counts as broken: well above a retransmission, and below the patience of
// callers.
const Silence = time.Second

// TCP opens a connection within a time-out. It breaks once sent bytes stay
// unacknowledged for Silence.
func TCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: control}
	conn, err := d.DialContext(ctx, "tcp4", address)
	return conn, wrap.Err(err, "connect")
}

func control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
