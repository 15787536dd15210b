package httpclient

import (
	"syscall"

	"github.com/go-faster/errors"
)

// reusable reports whether an idle connection is still open and has no unread
// bytes. Bytes that arrived after the last response belong to no request.
func (c *Conn) reusable() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
