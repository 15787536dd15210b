// Package peer carries messages between routers over WebSocket. Each router dials
// the others, sends only on the connections that it dialled, and receives only on
// those that it accepted.
package peer

import (
	"context"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/wrap"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
)

const (
	// websocketPath is the URL path on which routers accept connections.
	websocketPath = "/peer"
	// maxMessageBytes is the largest message in bytes, and maxFirstBytes that of the first one
	// of a connection: the id, the data centre and the addresses of a router.
	maxMessageBytes = 4 << 20
	maxFirstBytes   = 16 << 10
	// queueLength bounds the messages that wait to be sent to one router, and those
	// that wait for one of the workers.
	queueLength = 1024
	// dialTimeout bounds opening a connection.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds sending a message.
	writeTimeout = 2 * time.Second
	// receiveWorkers is the number of workers that handle received messages.
	receiveWorkers = 4
	// connBufferBytes is the size of each of a connection's buffers: most messages
	// fit.
	connBufferBytes = 2048
	// headTimeout bounds reading the request that begins a connection, and reading the first
	// message. Routers give up opening one after dialTimeout, and sending one after writeTimeout.
	headTimeout = 30 * time.Second
)

// Protocol defines the messages between routers. They have type M; the first one on
// each connection is a handshake, whose content has type H.
type Protocol[H, M any] struct {
	Encode func(M) ([]byte, error)
	Decode func([]byte) (M, error)
	// NewHandshake returns a handshake message; Handshake returns the content of one,
	// and false if the message isn't a handshake.
	NewHandshake func(H) M
	Handshake    func(M) (H, bool)
	// ID returns the router that sent a handshake.
	ID func(H) core.RouterID
}

// Handler holds the functions that a Network calls. They may be called
// concurrently.
type Handler[H, M any] struct {
	// Receive handles a message, also the handshake. Those of one router are handled
	// in order.
	Receive func(from H, m M)
	// Disconnected is called, perhaps more than once, when a connection to or from a
	// router breaks or can't be opened.
	Disconnected func(core.RouterID)
	// Address returns the address on which a router listens for its peers; empty if
	// it isn't known.
	Address func(core.RouterID) string
	// Queued is called with each message that was queued for a router, and its size in
	// bytes. It may be nil.
	Queued func(to core.RouterID, m M, bytes int)
}

// Network holds the connections between this router and all others.
type Network[H, M any] struct {
	// Conns bounds the connections that are accepted: above it, the one on which the latest
	// message is the oldest is closed. Memory bounds the messages that are arriving. Nil has no
	// bound. Both must be set before Serve.
	Conns  *listener.Bound
	Memory *budget.Pool

	self     H
	protocol Protocol[H, M]
	handler  Handler[H, M]
	log      *zap.Logger
	workers  *worker.KeyedPool[receivedMessage[H]]
	ctx      context.Context

	links *table.Cell[map[core.RouterID]*link[H, M]]
	// bytesSent and bytesReceived count the payload of messages. Those whose write
	// failed count as sent.
	bytesSent, bytesReceived atomic.Int64
}

type receivedMessage[H any] struct {
	from H
	data []byte
}

// New returns a network that closes its connections when ctx is done. Self is the
// content of the handshakes that it sends.
func New[H, M any](ctx context.Context, self H, log *zap.Logger, p Protocol[H, M], h Handler[H, M]) *Network[H, M] {
	n := &Network[H, M]{
		self: self, protocol: p, handler: h, log: log, ctx: ctx,
		links: table.New(table.RankLinks, map[core.RouterID]*link[H, M]{}),
	}
	n.workers = worker.NewKeyedPool(receiveWorkers, queueLength, n.handle)
	return n
}

// Bytes returns the payload bytes of the messages sent and received so far.
func (n *Network[H, M]) Bytes() (sent, received int64) {
	return n.bytesSent.Load(), n.bytesReceived.Load()
}

// handle decodes a message and passes it to the handler. It logs and drops messages
// that can't be decoded.
func (n *Network[H, M]) handle(_ context.Context, r receivedMessage[H]) {
	m, err := n.protocol.Decode(r.data)
	if err != nil {
		n.log.Warn("message_invalid", zap.String("peer", string(n.protocol.ID(r.from))), logs.Err(err))
		return
	}
	n.handler.Receive(r.from, m)
}

// Serve listens on an address and accepts the connections of other routers until
// the network's context is done. It returns an error if it can't listen.
func (n *Network[H, M]) Serve(address string) error {
	// Each connection that ends early gives a line, and clients may open many.
	libraryLog, err := zap.NewStdLogAt(n.log.Named("peers"), zap.DebugLevel)
	if err != nil {
		return wrap.Err(err, "create the HTTP library's log")
	}
	upgrader := websocket.FastHTTPUpgrader{ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes}
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           headTimeout,
		Logger:                libraryLog,
		// A handshake has no body.
		MaxRequestBodySize: maxHandshakeBytes,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != websocketPath {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			var entry *listener.Entry
			if counted, ok := ctx.Conn().(*listener.Counted); ok {
				entry = counted.Entry
			}
			serve := func(conn *websocket.Conn) { _ = worker.Protect(func() { n.serveConn(conn, entry) }) }
			if err := upgrader.Upgrade(ctx, serve); err != nil {
				n.log.Warn("peer_upgrade_failed", logs.Err(err))
			}
		},
	}
	context.AfterFunc(n.ctx, func() { _ = server.Shutdown() })
	ln, err := listener.ListenBuffered(address, 0)
	if err != nil {
		return wrap.Err(err, "listen for peers")
	}
	return wrap.Err(server.Serve(listener.Counting{Listener: ln, Bound: n.Conns}), "listen for peers")
}

// serveConn reads messages from a connection and queues them for the workers until
// the connection breaks. The first message must be a handshake. Each message makes the connection
// the last to be closed for others.
func (n *Network[H, M]) serveConn(conn *websocket.Conn, entry *listener.Entry) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	data, err := readFirst(conn)
	if err != nil {
		return
	}
	m, err := n.protocol.Decode(data)
	from, ok := n.protocol.Handshake(m)
	if err != nil || !ok {
		n.log.Warn("peer_handshake_failed", logs.Err(err))
		return
	}
	id := n.protocol.ID(from)
	n.linkTo(id).connected.Store(true)
	key := xxhash.Sum64String(string(id))
	for {
		entry.SetIdle()
		n.bytesReceived.Add(int64(len(data)))
		if n.workers.Submit(key, receivedMessage[H]{from, data}) != nil {
			return
		}
		if data, err = n.readMessage(conn, id); err != nil {
			n.handler.Disconnected(id)
			return
		}
	}
}

// readFirst reads the first message of a connection, within bounds of its own: until it has
// arrived, nothing says that another router has opened the connection.
func readFirst(conn *websocket.Conn) ([]byte, error) {
	conn.SetReadLimit(maxFirstBytes)
	if err := conn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return nil, err
	}
	_, data, err := conn.ReadMessage()
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxMessageBytes)
	return data, conn.SetReadDeadline(time.Time{})
}

// readMessage reads a message of a router within the budget. Above it, the message that arrives
// most slowly ends with an error.
func (n *Network[H, M]) readMessage(conn *websocket.Conn, from core.RouterID) ([]byte, error) {
	_, source, err := conn.NextReader()
	if err != nil {
		return nil, err
	}
	holding := n.Memory.Begin(string(from), func() {
		// A deadline in the past ends the wait for the next bytes.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer holding.Release()
	body, err := blocks.Reader{
		Source: source, Length: -1, Acquire: func(k, bytes int) error { return holding.Acquire(k, int64(bytes)) },
	}.ReadAll()
	if err == nil && len(body) > 1 {
		// The copy in one piece takes as much again.
		err = holding.Acquire(body.Len(), int64(body.Len()))
	}
	if err == nil {
		err = holding.Pin()
	}
	if err != nil {
		body.Recycle()
		return nil, err
	}
	data := body.Bytes()
	if len(body) > 1 {
		body.Recycle()
	}
	return data, nil
}

// Send queues a message for a router and doesn't wait. If the queue is full the
// message is dropped, as if it were lost in the network.
func (n *Network[H, M]) Send(to core.RouterID, m M) {
	data, err := n.protocol.Encode(m)
	if err != nil {
		n.log.Error("encode_failed", logs.Err(err))
		return
	}
	select {
	case n.linkTo(to).queue <- data:
		if n.handler.Queued != nil {
			n.handler.Queued(to, m, len(data))
		}
	default:
		n.log.Warn("peer_queue_full", zap.String("peer", string(to)))
	}
}

// linkTo returns the link to a router and starts it if there is none.
func (n *Network[H, M]) linkTo(to core.RouterID) *link[H, M] {
	return table.Read(n.links, table.Hold{}, func(links *map[core.RouterID]*link[H, M]) *link[H, M] {
		l := (*links)[to]
		if l == nil {
			l = &link[H, M]{network: n, to: to, queue: make(chan []byte, queueLength)}
			(*links)[to] = l
			go l.run()
		}
		return l
	})
}
