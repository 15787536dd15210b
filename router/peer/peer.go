// Package peer carries messages between routers over WebSocket. Each router
// dials the others and sends on the connections that it dialled; what it
// receives comes on the connections that others dialled.
package peer

import (
	"context"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/wrap"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
)

const (
	// path is where routers accept connections of others.
	path = "/peer"
	// maxMessage is the largest message in bytes.
	maxMessage = 4 << 20
	// queueLength is the number of messages that wait for one router.
	queueLength = 1024
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds the sending of a message.
	writeTimeout = 2 * time.Second
	// laneCount is the number of workers for received messages.
	laneCount = 4
	// bufferSize is the size of a connection's buffers in bytes: most messages
	// fit.
	bufferSize = 2048
)

// Protocol is what routers say to each other: messages of type M, the first of
// which on each connection is a greeting of type G.
type Protocol[G, M any] struct {
	Encode func(M) ([]byte, error)
	Decode func([]byte) (M, error)
	// Greet makes the message of a greeting, and Greeting reads it.
	Greet    func(G) M
	Greeting func(M) (G, bool)
	// ID returns who greets.
	ID func(G) core.RouterID
}

// Handler takes in what peers do.
type Handler[G, M any] struct {
	Receive func(from G, m M)
	// Lost is called when a connection to or from a router breaks.
	Lost func(core.RouterID)
	// Address returns where a router listens; empty if that is not known.
	Address func(core.RouterID) string
}

// Network is the router's connections to all others.
type Network[G, M any] struct {
	self     G
	protocol Protocol[G, M]
	handler  Handler[G, M]
	log      *zap.Logger
	lanes    *worker.Lanes[received[G]]
	ctx      context.Context

	links *table.Cell[map[core.RouterID]*link[G, M]]
	// Bytes counts what was sent and received as payload.
	sent, got atomic.Int64
}

type received[G any] struct {
	from G
	data []byte
}

// New returns a network that ends with ctx.
func New[G, M any](ctx context.Context, self G, log *zap.Logger, p Protocol[G, M], h Handler[G, M]) *Network[G, M] {
	n := &Network[G, M]{
		self: self, protocol: p, handler: h, log: log, ctx: ctx,
		links: table.New(table.RankLinks, map[core.RouterID]*link[G, M]{}),
	}
	n.lanes = worker.NewLanes(laneCount, queueLength, n.handle)
	return n
}

// Bytes returns how many bytes of messages were sent and received.
func (n *Network[G, M]) Bytes() (sent, received int64) { return n.sent.Load(), n.got.Load() }

func (n *Network[G, M]) handle(_ context.Context, r received[G]) {
	m, err := n.protocol.Decode(r.data)
	if err != nil {
		n.log.Warn("message_invalid", zap.String("peer", string(n.protocol.ID(r.from))), logs.Err(err))
		return
	}
	n.handler.Receive(r.from, m)
}

// Serve accepts the connections of other routers until the network ends.
func (n *Network[G, M]) Serve(address string) error {
	upgrader := websocket.FastHTTPUpgrader{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != path {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			if err := upgrader.Upgrade(ctx, n.accept); err != nil {
				n.log.Warn("peer_upgrade_failed", logs.Err(err))
			}
		},
	}
	context.AfterFunc(n.ctx, func() { _ = server.Shutdown() })
	return wrap.Err(server.ListenAndServe(address), "listen for peers")
}

// accept reads from one connection. The first message is a greeting.
func (n *Network[G, M]) accept(conn *websocket.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(maxMessage)
	_, data, err := conn.ReadMessage()
	if err != nil {
		return
	}
	m, err := n.protocol.Decode(data)
	from, ok := n.protocol.Greeting(m)
	if err != nil || !ok {
		n.log.Warn("peer_handshake_failed", logs.Err(err))
		return
	}
	id := n.protocol.ID(from)
	key := xxhash.Sum64String(string(id))
	for {
		n.got.Add(int64(len(data)))
		if n.lanes.Put(key, received[G]{from, data}) != nil {
			return
		}
		if _, data, err = conn.ReadMessage(); err != nil {
			n.handler.Lost(id)
			return
		}
	}
}

// Send queues a message. One that finds the queue full is dropped, as if it
// were lost on the way.
func (n *Network[G, M]) Send(to core.RouterID, m M) {
	data, err := n.protocol.Encode(m)
	if err != nil {
		n.log.Error("encode_failed", logs.Err(err))
		return
	}
	select {
	case n.link(to).queue <- data:
	default:
		n.log.Warn("peer_queue_full", zap.String("peer", string(to)))
	}
}

func (n *Network[G, M]) link(to core.RouterID) *link[G, M] {
	return table.Read(n.links, table.Hold{}, func(links *map[core.RouterID]*link[G, M]) *link[G, M] {
		l := (*links)[to]
		if l == nil {
			l = &link[G, M]{network: n, to: to, queue: make(chan []byte, queueLength)}
			(*links)[to] = l
			go l.run()
		}
		return l
	})
}
