package httpclient

import (
	"syscall"

	"github.com/go-faster/errors"
)

// idleState is what the kernel knows of an idle connection.
type idleState int

const (
	// idleUnusable means that the connection can't be used again: bytes that belong to no request
	// have arrived since the last response, or the state is unknown.
	idleUnusable idleState = iota
	// idleOpen means that the connection is open and has no unread bytes.
	idleOpen
	// idleClosed means that the peer has closed or reset the connection.
	idleClosed
)

// peek returns the state of an idle connection.
func (c *Conn) peek() idleState {
	raw, err := c.SyscallConn()
	if err != nil {
		return idleUnusable
	}
	state := idleUnusable
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(recvErr, syscall.EAGAIN):
			state = idleOpen
		case errors.Is(recvErr, syscall.ECONNRESET), recvErr == nil && n == 0:
			state = idleClosed
		}
		return true
	})
	if err != nil {
		return idleUnusable
	}
	return state
}
