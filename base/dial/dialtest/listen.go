// Package dialtest has listeners for tests of connections.
package dialtest

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	// receiveBytes is the size of the receive buffers and segmentBytes that of a segment, as
	// on an ordinary network: loopback's buffers take megabytes that nobody reads.
	receiveBytes = 16 << 10
	segmentBytes = 1460
)

// Listen opens a listener on loopback whose connections take in little that isn't read.
func Listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes))
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}
