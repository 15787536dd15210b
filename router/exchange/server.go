package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/burn"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/back"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/orders"
)

// Placer orders the upstreams for a request.
type Placer func(now time.Time, r route.Request) []chat.Candidate

// Server serves callers' requests.
type Server struct {
	Node   *node.Node
	Back   *back.Client
	Orders *orders.Service
	// Suspects appends records of suspects to the log.
	Suspects func(node.Suspect)
	Place    Placer
	// Permits is false for the policies that send without permits.
	Permits bool
	// Home is how long a request waits for the upstream that has its chat
	// cached before it goes to another.
	Home    time.Duration
	Carry   func(node.Effects)
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Burn    *table.Cell[burn.Table]
	budget  *table.Cell[retry.Budget]
	waiters *table.Cell[waiters]
	running sync.WaitGroup
	open    atomic.Int64
}

// New returns a server; the caller sets its exported fields.
func New() *Server {
	return &Server{
		budget:  table.New(table.RankBudgets, retry.Budget{}),
		waiters: table.New(table.RankWaiters, waiters{}),
	}
}

// Replied hands the answer of an ask to the request that waits for it.
func (s *Server) Replied(r node.Reply) { s.waiter(r.Ask) <- r }

// Wait returns when no request is running.
func (s *Server) Wait() { s.running.Wait() }

func (s *Server) takeRetry() bool {
	return table.Read(s.budget, table.Hold{}, func(b *retry.Budget) bool { return b.Take() })
}

func (s *Server) succeed() {
	s.budget.Do(table.Hold{}, func(_ table.Hold, b *retry.Budget) { b.Succeed() })
}

// finish ends a permit and says what was seen of the upstream.
func (s *Server) finish(h permit.Held, o node.Outcome, boot string) {
	s.Carry(s.Node.Finish(time.Now(), h, o, boot))
}

// finishLater ends a permit once the upstream has noticed that its stream was
// cut.
func (s *Server) finishLater(h permit.Held, o node.Outcome) {
	time.AfterFunc(linger, func() { s.finish(h, o, "") })
}

// Target returns an upstream as the client needs it.
func (s *Server) Target(id core.UpstreamID) (back.Target, bool) {
	u, ok := s.Node.Upstream(id)
	if !ok {
		return back.Target{}, false
	}
	sheet, _ := s.Node.Sheet()
	p, _ := sheet.Pool(u.Pool)
	return back.Target{ID: u.ID, Address: u.Address, ReportsLoad: p.Kind == pool.Model}, true
}

// waiters hold a channel for each ask that waits.
type waiters map[uint64]chan node.Reply

// waiter returns the channel of an ask, which holds one reply.
func (s *Server) waiter(ask uint64) chan node.Reply {
	return table.Read(s.waiters, table.Hold{}, func(w *waiters) chan node.Reply {
		c := (*w)[ask]
		if c == nil {
			c = make(chan node.Reply, 1)
			(*w)[ask] = c
		}
		return c
	})
}

// forget drops the channel of an ask that was answered or given up.
func (s *Server) forget(ask uint64) {
	s.waiters.Do(table.Hold{}, func(_ table.Hold, w *waiters) { delete(*w, ask) })
}

// Begin counts a request in, for shutdown.
func (s *Server) Begin() {
	s.running.Add(1)
	s.open.Add(1)
}

// End counts a request out.
func (s *Server) End() {
	s.open.Add(-1)
	s.running.Done()
}

// Running returns the number of requests that are running.
func (s *Server) Running() int64 { return s.open.Load() }
