package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"

	"github.com/fasthttp/websocket"
	"go.uber.org/zap"

	"camphorpulley.org/core"
)

// redialPause is the shortest time between a failed dial of a router and the next
// one, unless the router connects meanwhile. Messages that are sent in the pause are
// dropped.
const redialPause = 200 * time.Millisecond

// link sends messages to one router: a queue and the connection over which one
// goroutine empties it.
type link[H, M any] struct {
	network *Network[H, M]
	to      core.RouterID
	queue   chan []byte
	conn    *websocket.Conn
	address string
	// lastFailure is the time of the last failed dial.
	lastFailure time.Time
	// connected is set when the router connects to this one, so that it can be dialled
	// at once: it may have just started.
	connected atomic.Bool
}

// run sends queued messages until the network's context is done.
func (l *link[H, M]) run() {
	for {
		select {
		case <-l.network.ctx.Done():
			l.close()
			return
		case data := <-l.queue:
			if worker.Protect(func() { l.send(data) }) != nil {
				l.close()
			}
		}
	}
}

// send sends a message. It dials first if there is no connection or if the
// router's address has changed; if that fails, the message is dropped.
func (l *link[H, M]) send(data []byte) {
	address := l.network.handler.Address(l.to)
	if l.conn != nil && address != l.address {
		l.close()
	}
	if l.conn == nil && !l.dial(address) {
		return
	}
	if err := l.writeMessage(data); err != nil {
		l.close()
		l.network.handler.Disconnected(l.to)
	}
}

// writeMessage writes a message to the open connection.
func (l *link[H, M]) writeMessage(data []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	l.network.bytesSent.Add(int64(len(data)))
	return l.conn.WriteMessage(websocket.BinaryMessage, data)
}

// dial opens a connection and sends the handshake. It reports whether both
// succeeded.
func (l *link[H, M]) dial(address string) bool {
	if address == "" || (!l.connected.Swap(false) && time.Since(l.lastFailure) < redialPause) {
		return false
	}
	var opened *handshakeConn
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
		NetDialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			raw, err := dial.TCP(ctx, address, dialTimeout)
			if err != nil {
				return nil, err
			}
			opened = &handshakeConn{Conn: raw, head: dial.HeadLimit{Source: raw}}
			opened.head.Expect(maxHandshakeBytes)
			return opened, nil
		},
	}
	conn, _, err := dialer.DialContext(l.network.ctx, "ws://"+address+websocketPath, nil)
	if err != nil {
		l.lastFailure = time.Now()
		l.network.log.Debug("peer_unreachable", zap.String("peer", string(l.to)), logs.Err(err))
		l.network.handler.Disconnected(l.to)
		return false
	}
	opened.head.End()
	l.conn = conn
	l.address = address
	go func() { _ = worker.Protect(func() { l.watchForClose(conn) }) }()
	handshake, err := l.network.protocol.Encode(l.network.protocol.NewHandshake(l.network.self))
	if err == nil {
		err = l.writeMessage(handshake)
	}
	if err != nil {
		l.close()
		return false
	}
	return true
}

// maxHandshakeBytes bounds the response to a WebSocket handshake.
const maxHandshakeBytes = 16 << 10

// handshakeConn is a dialled connection on which the response to the handshake is bounded.
type handshakeConn struct {
	net.Conn
	head dial.HeadLimit
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) { return c.head.Read(p) }

// watchForClose reads from a dialled connection until it breaks. Peers send nothing
// on connections that they accepted.
func (l *link[H, M]) watchForClose(conn *websocket.Conn) {
	for {
		if _, _, err := conn.NextReader(); err != nil {
			l.network.handler.Disconnected(l.to)
			_ = conn.Close()
			return
		}
	}
}

func (l *link[H, M]) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
