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
	"camphorpulley.org/router/backend"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/orders"
)

// CandidateFunc returns the upstreams that may serve a request, the preferred
// one first.
type CandidateFunc func(now time.Time, r route.Request) []chat.Candidate

// Forwarder forwards callers' requests to upstreams.
type Forwarder struct {
	Node   *node.Node
	Back   *backend.Client
	Orders *orders.Service
	// AppendSuspect queues a suspect record for the platform's log.
	AppendSuspect func(node.SuspectUpdate)
	Candidates    CandidateFunc
	// Permits is false for baseline policies, which send requests without
	// permits.
	Permits bool
	// CacheWait is how long a request waits for the upstream that has its chat
	// cached before it tries another one.
	CacheWait    time.Duration
	ApplyEffects func(node.Effects)
	Log          *zap.Logger
	Metrics      *metrics.Metrics
	Burn         *table.Cell[burn.Table]
	retryBudget  *table.Cell[retry.Budget]
	replies      *table.Cell[replyChannels]
	runningGroup sync.WaitGroup
	runningCount atomic.Int64
}

// New returns a forwarder. The caller must set its exported fields before use.
func New() *Forwarder {
	return &Forwarder{
		retryBudget: table.New(table.RankBudgets, retry.Budget{}),
		replies:     table.New(table.RankWaiters, replyChannels{}),
	}
}

// DeliverReply passes the reply to a permit request to the goroutine that waits
// for it.
func (f *Forwarder) DeliverReply(r node.Reply) { f.replyChannel(r.RequestID) <- r }

// Wait blocks until no request is running.
func (f *Forwarder) Wait() { f.runningGroup.Wait() }

func (f *Forwarder) takeRetry() bool {
	return table.Read(f.retryBudget, table.Hold{}, func(b *retry.Budget) bool { return b.Take() })
}

func (f *Forwarder) creditRetryBudget() {
	f.retryBudget.Do(table.Hold{}, func(_ table.Hold, b *retry.Budget) { b.RecordSuccess() })
}

// finishPermit ends the use of a permit and records what was observed of the
// upstream: the outcome, and the boot of its process if known.
func (f *Forwarder) finishPermit(h permit.Held, o node.Outcome, boot string) {
	f.ApplyEffects(f.Node.Finish(time.Now(), h, o, boot))
}

// finishPermitLater finishes a permit after releaseDelay, when the upstream has
// noticed that the connection was closed.
func (f *Forwarder) finishPermitLater(h permit.Held, o node.Outcome) {
	time.AfterFunc(releaseDelay, func() { f.finishPermit(h, o, "") })
}

// Target returns an upstream as a target of package backend. It reports false if
// the upstream is unknown.
func (f *Forwarder) Target(id core.UpstreamID) (backend.Target, bool) {
	u, ok := f.Node.Upstream(id)
	if !ok {
		return backend.Target{}, false
	}
	sheet, _ := f.Node.Sheet()
	p, _ := sheet.Pool(u.Pool)
	return backend.Target{ID: u.ID, Address: u.Address, ReportsLoad: p.Kind == pool.Model}, true
}

// replyChannels holds a channel for each permit request that waits for a reply.
type replyChannels map[uint64]chan node.Reply

// replyChannel returns the channel of a permit request, and creates it if
// needed. It buffers one reply, so that DeliverReply doesn't block.
func (f *Forwarder) replyChannel(id uint64) chan node.Reply {
	return table.Read(f.replies, table.Hold{}, func(channels *replyChannels) chan node.Reply {
		c := (*channels)[id]
		if c == nil {
			c = make(chan node.Reply, 1)
			(*channels)[id] = c
		}
		return c
	})
}

// dropReplyChannel removes the channel of a permit request that was answered or
// withdrawn.
func (f *Forwarder) dropReplyChannel(id uint64) {
	f.replies.Do(table.Hold{}, func(_ table.Hold, channels *replyChannels) { delete(*channels, id) })
}

// Begin counts a request as running until End is called. Wait waits for it.
func (f *Forwarder) Begin() {
	f.runningGroup.Add(1)
	f.runningCount.Add(1)
}

// End counts a running request as finished.
func (f *Forwarder) End() {
	f.runningCount.Add(-1)
	f.runningGroup.Done()
}

// Running returns the number of requests that are running.
func (f *Forwarder) Running() int64 { return f.runningCount.Load() }
