package runner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"camphorpulley.org/lab/soak/ledger"
)

const (
	// repeatedShare is the share of refusals that a runner sends once more on their
	// connection, ahead of the next response there.
	repeatedShare = 0.5
	// lateShare is the share of the copies that are sent lateness after the refusal, or
	// ahead of the next response if that is earlier. The others are sent when the next
	// request arrives.
	lateShare = 0.3
	lateness  = 25 * time.Millisecond
	// anonymousShare is the share of the copies that state no request.
	anonymousShare = 0.2
)

// listener accepts connections on which refusals may be sent once more: a handler of net/http
// can't send a response without a request.
type listener struct {
	net.Listener
	runner *Runner
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, runner: l.runner}, nil
}

// conn is a connection on which refusals may be sent once more.
type conn struct {
	net.Conn
	runner *Runner
	// mu guards the fields below, and keeps copies out of other responses.
	mu sync.Mutex
	// request is the one whose response is due, empty between two. refused is the one that
	// was refused last, and repeats is true until the refusal is written, if it is to be sent
	// once more.
	request, refused string
	repeats          bool
	// copied is the refusal to send once more, nil if there is none, and copiedFor the request
	// that it refuses; late as in lateShare.
	copied    []byte
	copiedFor string
	late      bool
}

type connKey struct{}

// withConn makes the connection known to the handlers of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(q *http.Request) *conn {
	c, ok := q.Context().Value(connKey{}).(*conn)
	if !ok {
		panic("request without a connection of this package")
	}
	return c
}

// begin records that a request has arrived, and sends the copy that is due then.
func (c *conn) begin(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = id
	if !c.late {
		c.sendCopy()
	}
}

// refuse states that the next response refuses a request. A share of refusals are sent
// once more.
func (c *conn) refuse(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused, c.repeats = id, rand.Float64() < repeatedShare
}

// Write implements net.Conn. It sends a late copy ahead of the response. The server writes a
// response as short as a refusal at once.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendCopy()
	if c.repeats {
		c.repeats, c.request, c.late = false, "", rand.Float64() < lateShare
		c.copied, c.copiedFor = bytes.Clone(p), c.refused
		if rand.Float64() < anonymousShare {
			c.copied = withoutField(c.copied, headerRequestID)
		}
		if c.late {
			time.AfterFunc(lateness, c.sendLate)
		}
	}
	return c.Conn.Write(p)
}

func (c *conn) sendLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendCopy()
}

// sendCopy sends the copy, if there is one. A connection that is closed by now has none to
// receive it.
func (c *conn) sendCopy() {
	if c.copied == nil {
		return
	}
	if _, err := c.Conn.Write(c.copied); err == nil {
		c.runner.ledger.RecordCopy(time.Now(), ledger.Copy{Runner: c.runner.ID, Conn: c.RemoteAddr().String(), Refused: c.copiedFor, Next: c.request})
	}
	c.copied = nil
}

// withoutField returns the head of a response without a field.
func withoutField(head []byte, name string) []byte {
	from := bytes.Index(head, []byte("\r\n"+name+": "))
	if from < 0 {
		return head
	}
	length := bytes.Index(head[from+2:], []byte("\r\n")) + 2
	return append(bytes.Clone(head[:from]), head[from+length:]...)
}
