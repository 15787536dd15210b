package frontend

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestUnreadResponse guards against a response that is held for ever because its caller reads
// nothing, and against one that is cut off because its caller reads slowly.
func TestUnreadResponse(t *testing.T) {
	for _, reads := range []bool{false, true} {
		caller, server := connect(t)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			buffer := make([]byte, 1<<10)
			for n := 0; reads; n += len(buffer) {
				if _, err := io.ReadFull(caller, buffer); err != nil {
					return
				}
				if n%(1<<20) == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
		conn := &countedConn{Conn: server, timeout: time.Second}
		// More than the kernel takes.
		_, err := conn.Write(make([]byte, 16<<20))
		if timedOut := errors.Is(err, os.ErrDeadlineExceeded); timedOut == reads {
			t.Errorf("caller that reads %t: got error %v, want a time-out %t", reads, err, !reads)
		}
		_ = conn.Close()
		<-ended
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if caller, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return caller, server
}
