package listener

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core/memory"
	"camphorpulley.org/core/table"
)

// Bound bounds the connections of listeners. Above it, the connection that has had no request
// for the longest time is closed. A nil *Bound has no bound.
type Bound struct {
	conns *table.Cell[memory.Connections[*Entry]]
}

// NewBound returns a bound of most connections; nil, which has no bound, for zero.
func NewBound(most int) *Bound {
	if most == 0 {
		return nil
	}
	return &Bound{conns: table.New(table.RankMemory, memory.Connections[*Entry]{Max: most})}
}

// Entry is a connection that counts. A nil *Entry counts for nothing.
type Entry struct {
	bound *Bound
	conn  net.Conn
}

// Len returns the number of connections.
func (b *Bound) Len() int {
	if b == nil {
		return 0
	}
	return table.Read(b.conns, table.Hold{}, func(c *memory.Connections[*Entry]) int { return c.Len() })
}

// Add counts a connection that was accepted, and closes one if there are too many.
func (b *Bound) Add(c net.Conn) *Entry {
	if b == nil {
		return nil
	}
	e := &Entry{bound: b, conn: c}
	var closing *Entry
	b.conns.Do(table.Hold{}, func(_ table.Hold, all *memory.Connections[*Entry]) { closing, _ = all.Add(time.Now(), e) })
	if closing != nil {
		_ = closing.conn.Close()
	}
	return e
}

// SetBusy records that the connection has a request.
func (e *Entry) SetBusy() {
	if e != nil {
		e.bound.conns.Do(table.Hold{}, func(_ table.Hold, all *memory.Connections[*Entry]) { all.SetBusy(e) })
	}
}

// SetIdle records that the connection has no request any more.
func (e *Entry) SetIdle() {
	if e != nil {
		e.bound.conns.Do(table.Hold{}, func(_ table.Hold, all *memory.Connections[*Entry]) { all.SetIdle(time.Now(), e) })
	}
}

// Remove ends the count of the connection.
func (e *Entry) Remove() {
	if e != nil {
		e.bound.conns.Do(table.Hold{}, func(_ table.Hold, all *memory.Connections[*Entry]) { all.Remove(e) })
	}
}

// ListenBuffered opens a listener on a TCP address over IPv4 whose connections have kernel
// buffers of a size; the kernel chooses it for zero.
func ListenBuffered(address string, bufferBytes int) (net.Listener, error) {
	var config net.ListenConfig
	if bufferBytes > 0 {
		// Connections inherit the sizes of the listener's socket.
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
					if optionErr == nil {
						optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes)
					}
				}
			})
			if err != nil {
				return err
			}
			return optionErr
		}
	}
	ln, err := config.Listen(context.Background(), "tcp4", address)
	return ln, wrap.Err(err, "listen")
}
