package dial

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core/table"
)

// Conn is a TCP connection whose Read returns io.EOF only once the peer has closed its
// direction. The kernel reports a reset or a time-out to one call, which may be a Write; a
// net.TCPConn then returns io.EOF to the reader, as at the end of a response.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	// writes holds the error of the first write that failed. It is locked during a write,
	// so that a reader that needs it waits for the write's end.
	writes table.Cell[error]
	// The reader alone uses what follows. readErr is the error of the first read that failed.
	readErr error
	// checked is true if a waiting Read checks that the peer acknowledges what it is sent.
	checked  bool
	liveness Liveness
	// deadline is that of Read; zero if there is none.
	deadline time.Time
}

// LostError reports that a connection was lost before the peer closed it.
type LostError struct {
	Cause error
}

// Error implements error.
func (e *LostError) Error() string { return "connection lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	var n int
	var err error
	c.writes.Do(table.Hold{}, func(_ table.Hold, failed *error) {
		n, err = c.Conn.Write(p)
		if *failed == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			*failed = err
		}
	})
	return n, err
}

// Read implements net.Conn. In place of io.EOF, the error is a *LostError if the peer hasn't
// closed its direction.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.wait(p)
	if errors.Is(err, io.EOF) {
		if cause := c.loss(); cause != nil {
			return n, &LostError{Cause: cause}
		}
		return n, err
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// wait reads, and checks the connection while nothing arrives.
func (c *Conn) wait(p []byte) (int, error) {
	if !c.checked {
		return c.Conn.Read(p)
	}
	for {
		until := time.Now().Add(checkInterval)
		if !c.deadline.IsZero() && c.deadline.Before(until) {
			until = c.deadline
		}
		if err := c.Conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.liveness = Liveness{}
			return n, err
		}
		now := time.Now()
		if info, infoErr := c.info(); infoErr == nil && c.liveness.Lost(now, info) {
			return 0, &LostError{Cause: syscall.ETIMEDOUT}
		}
		if !c.deadline.IsZero() && !now.Before(c.deadline) {
			return n, err
		}
	}
}

// SetDeadline implements net.Conn. Only the reader may call it.
func (c *Conn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn. Only the reader may call it.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// loss returns the error with which the connection was lost, at the end of what can be read;
// nil if the peer has closed its direction.
func (c *Conn) loss() error {
	if c.readErr != nil {
		return c.readErr
	}
	info, err := c.info()
	if err == nil && info.State != tcpClose {
		return nil
	}
	// A write on a closed socket doesn't block.
	failed := table.Read(&c.writes, table.Hold{}, func(failed *error) error { return *failed })
	if errors.Is(failed, syscall.EPIPE) {
		// The reset has come after the peer had closed its direction.
		return nil
	}
	return failed
}

const (
	// tcpEstablished is the state of a socket that neither side has closed.
	tcpEstablished = 1
	// tcpClose is the state of a socket that was reset or has timed out. It is also that of one
	// on which a reset has followed the end of the peer's bytes.
	tcpClose = 7
)

// Ended reports whether one side of a connection has closed its direction, or the connection
// was lost, even if bytes of the peer are left to read.
func Ended(c syscall.Conn) bool {
	info, err := infoOf(c)
	return err != nil || info.State != tcpEstablished
}

// info returns the kernel's information on the connection.
func (c *Conn) info() (*unix.TCPInfo, error) { return infoOf(c.tcp) }

// infoOf returns the kernel's information on a connection.
func infoOf(c syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, wrap.Err(err, "access socket")
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = optionErr
	}
	return info, wrap.Err(err, "query connection state")
}

// Unsent returns how many bytes that were written to a connection the peer hasn't acknowledged
// yet; zero if that isn't known.
func Unsent(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return n
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Reset closes the connection and discards what waits to be sent.
func (c *Conn) Reset() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}
