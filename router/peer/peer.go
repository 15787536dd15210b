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
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/wire"
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
)

// Handler takes in what peers do.
type Handler struct {
	Receive func(from node.Hello, m node.Message)
	// Lost is called when a connection to or from a router breaks.
	Lost func(core.RouterID)
	// Address returns where a router listens; empty if that is not known.
	Address func(core.RouterID) string
}

// Network is the router's connections to all others.
type Network struct {
	self    node.Hello
	handler Handler
	log     *zap.Logger
	lanes   *worker.Lanes[received]
	ctx     context.Context

	links *table.Cell[map[core.RouterID]*link]
	// Bytes counts what was sent and received as payload.
	sent, got atomic.Int64
}

type received struct {
	from node.Hello
	data []byte
}

// New returns a network that ends with ctx.
func New(ctx context.Context, self node.Hello, log *zap.Logger, h Handler) *Network {
	n := &Network{self: self, handler: h, log: log, ctx: ctx, links: table.New(table.RankLinks, map[core.RouterID]*link{})}
	n.lanes = worker.NewLanes(laneCount, queueLength, n.handle)
	return n
}

// Bytes returns how many bytes of messages were sent and received.
func (n *Network) Bytes() (sent, received int64) { return n.sent.Load(), n.got.Load() }

func (n *Network) handle(_ context.Context, r received) {
	m, err := wire.Decode(r.data)
	if err != nil {
		n.log.Warn("bad_message", zap.String("peer", string(r.from.Router)), logs.Err(err))
		return
	}
	n.handler.Receive(r.from, m)
}

// Serve accepts the connections of other routers until the network ends.
func (n *Network) Serve(address string) error {
	upgrader := websocket.FastHTTPUpgrader{}
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

// accept reads from one connection. The first message is a Hello.
func (n *Network) accept(conn *websocket.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(maxMessage)
	_, data, err := conn.ReadMessage()
	if err != nil {
		return
	}
	m, err := wire.Decode(data)
	if err != nil || m.Hello == nil {
		n.log.Warn("peer_without_hello", logs.Err(err))
		return
	}
	from := *m.Hello
	key := xxhash.Sum64String(string(from.Router))
	for {
		n.got.Add(int64(len(data)))
		if n.lanes.Put(key, received{from, data}) != nil {
			return
		}
		if _, data, err = conn.ReadMessage(); err != nil {
			n.handler.Lost(from.Router)
			return
		}
	}
}

// Send queues a message. One that finds the queue full is dropped, as if it
// were lost on the way.
func (n *Network) Send(to core.RouterID, m node.Message) {
	data, err := wire.Encode(m)
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

func (n *Network) link(to core.RouterID) *link {
	return table.Read(n.links, table.Hold{}, func(links *map[core.RouterID]*link) *link {
		l := (*links)[to]
		if l == nil {
			l = &link{network: n, to: to, queue: make(chan []byte, queueLength)}
			(*links)[to] = l
			go l.run()
		}
		return l
	})
}
