package peer

import (
	"context"
	"net"
	"time"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/base/logs"

	"github.com/fasthttp/websocket"
	"go.uber.org/zap"

	"camphorpulley.org/core"
)

// redialPause is the least time between two tries to reach a router. What is
// sent meanwhile is dropped.
const redialPause = 200 * time.Millisecond

// link is the sending half of the exchange with one router.
type link[G, M any] struct {
	network *Network[G, M]
	to      core.RouterID
	queue   chan []byte
	conn    *websocket.Conn
	address string
	failed  time.Time
}

func (l *link[G, M]) run() {
	for {
		select {
		case <-l.network.ctx.Done():
			l.close()
			return
		case data := <-l.queue:
			l.write(data)
		}
	}
}

// write sends a message, over a new connection if there is none.
func (l *link[G, M]) write(data []byte) {
	address := l.network.handler.Address(l.to)
	if l.conn != nil && address != l.address {
		l.close()
	}
	if l.conn == nil && !l.dial(address) {
		return
	}
	if err := l.send(data); err != nil {
		l.close()
		l.network.handler.Lost(l.to)
	}
}

func (l *link[G, M]) send(data []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	l.network.sent.Add(int64(len(data)))
	return l.conn.WriteMessage(websocket.BinaryMessage, data)
}

func (l *link[G, M]) dial(address string) bool {
	if address == "" || time.Since(l.failed) < redialPause {
		return false
	}
	dialer := websocket.Dialer{
		HandshakeTimeout: dialTimeout, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		NetDialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial.TCP(ctx, address, dialTimeout)
		},
	}
	conn, _, err := dialer.DialContext(l.network.ctx, "ws://"+address+path, nil)
	if err != nil {
		l.failed = time.Now()
		l.network.log.Debug("peer_unreachable", zap.String("peer", string(l.to)), logs.Err(err))
		l.network.handler.Lost(l.to)
		return false
	}
	l.conn = conn
	l.address = address
	go l.watch(conn)
	hello, err := l.network.protocol.Encode(l.network.protocol.Greet(l.network.self))
	if err == nil {
		err = l.send(hello)
	}
	if err != nil {
		l.close()
		return false
	}
	return true
}

// watch reads from a dialled connection, on which nothing comes but its end.
func (l *link[G, M]) watch(conn *websocket.Conn) {
	for {
		if _, _, err := conn.NextReader(); err != nil {
			l.network.handler.Lost(l.to)
			_ = conn.Close()
			return
		}
	}
}

func (l *link[G, M]) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
