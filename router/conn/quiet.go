package conn

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// quiet reports whether a kept connection is open and nothing has come on it.
// Bytes that came after an answer belong to no request.
func (c *Conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, got := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(got, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
