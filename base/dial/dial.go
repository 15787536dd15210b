// Package dial opens TCP connections that fail when the peer stops
// acknowledging data.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorpulley.org/base/wrap"
)

// UserTimeout is how long sent bytes may stay unacknowledged before the kernel
// closes the connection: well above the time of a retransmission, and below the
// time-outs of callers.
const UserTimeout = time.Second

// TCP opens a TCP connection over IPv4, or fails once timeout has passed. The
// connection fails once sent bytes stay unacknowledged for UserTimeout.
func TCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp4", address)
	return conn, wrap.Err(err, "connect")
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
