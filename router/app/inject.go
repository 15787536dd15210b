// Package app assembles the router of the program camphorpulley from its parts and
// runs it. Package cluster is its counterpart in the program
// camphorpulley-platform.
package app

import (
	"math/rand/v2"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/sheet"
	"camphorpulley.org/core"
	"camphorpulley.org/core/burn"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/memory"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/backend"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/exchange"
	"camphorpulley.org/router/frontend"
	"camphorpulley.org/router/metrics"
	"camphorpulley.org/router/orders"
	"camphorpulley.org/router/setup"
)

// newInjector registers the constructors of the router's parts.
func newInjector(now time.Time, f setup.Settings, l memory.Limits, log *zap.Logger) do.Injector {
	i := do.New()
	do.ProvideValue(i, f)
	do.ProvideValue(i, log)
	do.ProvideValue(i, budget.New(l, log))
	do.ProvideValue(i, listener.NewBound(l.Callers))
	do.ProvideValue(i, node.New(now, nodeSettings(now, f)))
	do.ProvideValue(i, table.New(table.RankBurn, burn.Table{}))
	do.Provide(i, provideLogClient)
	do.Provide(i, provideOrders)
	do.Provide(i, provideBack)
	do.Provide(i, provideForwarder)
	do.Provide(i, provideFront)
	do.Provide(i, provideMetrics)
	return i
}

func nodeSettings(now time.Time, f setup.Settings) node.Settings {
	return node.Settings{
		ID:          core.RouterID(f.Router.ID),
		DataCentre:  core.DataCentre(f.Router.DataCentre),
		Seat:        core.Seat(f.Router.Seat),
		Address:     f.Router.Peer,
		Incarnation: core.Incarnation(now.UnixMilli()),
		LeaseTiming: permit.LeaseTiming{Length: f.Router.LeaseLength},
		Parse: func(text []byte) (config.Sheet, error) {
			return sheet.Parse("sheet", text)
		},
	}
}

func provideLogClient(i do.Injector) (*logservice.Client, error) {
	f := do.MustInvoke[setup.Settings](i)
	return &logservice.Client{LogAddress: f.Platform.Log, ListAddress: f.Platform.List}, nil
}

func provideOrders(i do.Injector) (*orders.Service, error) {
	self := do.MustInvoke[*node.Node](i).Settings()
	return orders.New(self.ID, self.Incarnation, do.MustInvoke[*logservice.Client](i), do.MustInvoke[*zap.Logger](i)), nil
}

func provideMetrics(i do.Injector) (*metrics.Metrics, error) {
	n := do.MustInvoke[*node.Node](i)
	service := do.MustInvoke[*orders.Service](i)
	held, conns := do.MustInvoke[*budget.Pool](i), do.MustInvoke[*listener.Bound](i)
	return metrics.New(
		metrics.Gauge{Name: "memory_held_bytes", Description: "bytes held for callers", Read: held.Held},
		metrics.Gauge{Name: "memory_refused", Description: "bodies that were refused or dropped because memory was short", Read: held.Refused},
		metrics.Gauge{Name: "caller_connections", Description: "connections of callers", Read: func() int64 { return int64(conns.Len()) }},
		metrics.Gauge{Name: "revision", Description: "revision in force", Read: func() int64 {
			_, number := n.Sheet()
			return int64(number)
		}},
		metrics.Gauge{Name: "order_keys", Description: "idempotency keys remembered", Read: func() int64 {
			return int64(service.Len())
		}},
	)
}

// bootObserver passes the boot that an upstream reported on a new connection to
// the node.
type bootObserver struct {
	node *node.Node
}

// ObserveBoot implements backend.BootObserver.
func (b bootObserver) ObserveBoot(id core.UpstreamID, boot string) bool {
	return b.node.ObserveBoot(time.Now(), id, boot)
}

func provideBack(i do.Injector) (*backend.Client, error) {
	f := do.MustInvoke[setup.Settings](i)
	return backend.New(bootObserver{do.MustInvoke[*node.Node](i)}, f.Limits.StreamIdleTimeout), nil
}

func provideForwarder(i do.Injector) (*exchange.Forwarder, error) {
	f := do.MustInvoke[setup.Settings](i)
	forwarder := exchange.New()
	forwarder.Node = do.MustInvoke[*node.Node](i)
	forwarder.Back = do.MustInvoke[*backend.Client](i)
	forwarder.Orders = do.MustInvoke[*orders.Service](i)
	forwarder.Log = do.MustInvoke[*zap.Logger](i)
	forwarder.Metrics = do.MustInvoke[*metrics.Metrics](i)
	forwarder.Candidates = candidateFunc(f.Router.Policy, forwarder.Node)
	forwarder.CacheWait = f.Limits.CachedUpstreamWait
	forwarder.Permits = f.Router.Policy == setup.FleetPolicy
	return forwarder, nil
}

func provideFront(i do.Injector) (*frontend.Server, error) {
	return &frontend.Server{
		Node:      do.MustInvoke[*node.Node](i),
		Forwarder: do.MustInvoke[*exchange.Forwarder](i),
		Log:       do.MustInvoke[*zap.Logger](i),
		Burn:      do.MustInvoke[*table.Cell[burn.Table]](i),
		Memory:    do.MustInvoke[*budget.Pool](i),
		Conns:     do.MustInvoke[*listener.Bound](i),
	}, nil
}

// baselineLoadFactor is the largest load that the baseline policies bounded and
// oracle put on an upstream, as a multiple of the mean load that this router
// puts on upstreams.
const baselineLoadFactor = 1.25

// randomSeed makes the random policy choose the same in every run.
const randomSeed = 1

// candidateFunc returns a function that ranks upstreams by the policy with the
// given name. All but the fleet policy are baselines for measurements.
func candidateFunc(name string, n *node.Node) exchange.CandidateFunc {
	switch name {
	case "random":
		return candidatesWith(n, chat.NewRandom(rand.NewPCG(randomSeed, uint64(n.Settings().Seat))))
	case "robin":
		return candidatesWith(n, &chat.RoundRobin{})
	case "rendezvous":
		return candidatesWith(n, chat.FirstOnly{})
	case "bounded":
		return candidatesWith(n, chat.BoundedLoad{LoadFactor: baselineLoadFactor})
	case "oracle":
		// It knows the last upstream of each chat: an upper bound for comparison.
		return candidatesWith(n, &chat.Sticky{LoadFactor: baselineLoadFactor})
	default:
		return candidatesWith(n, chat.Rendezvous{})
	}
}

func candidatesWith[P chat.Policy](n *node.Node, policy P) exchange.CandidateFunc {
	return func(now time.Time, r route.Request) []chat.Candidate {
		return node.RankUpstreams(now, n, policy, r)
	}
}
