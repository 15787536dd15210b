// Package node holds the tables of one router and the decisions that involve
// several aggregates. A front end passes in requests, messages, load reports and
// the current time, and carries out the effects that are returned.
package node

import (
	"sync/atomic"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// Settings identifies the router and configures it.
type Settings struct {
	ID          core.RouterID
	DataCentre  core.DataCentre
	Seat        core.Seat
	Address     string
	Incarnation core.Incarnation
	// LeaseTiming gives the durations of leases and heartbeats.
	LeaseTiming permit.LeaseTiming
	// Parse decodes the text of a sheet.
	Parse func(text []byte) (config.Sheet, error)
}

// Node holds one router's tables. Its methods may be called concurrently.
type Node struct {
	settings  Settings
	started   time.Time
	config    *table.Cell[configuration]
	peers     *table.Cell[peers]
	upstreams *table.Cell[upstreams]
	permits   *table.Cell[permitTable]
	holdings  *table.Cell[holdings]
	suspects  *table.Cell[poison.Suspects]
	// latestView is the last view that was built. Generation counts the changes
	// after which a new view must be built.
	latestView atomic.Pointer[view]
	generation atomic.Uint64
}

type configuration struct {
	tracker config.Tracker
	sheet   config.Sheet
	// number is that of the revision in force. Sheet is from an earlier one if
	// parseError is set.
	number     core.Offset
	parseError error
}

type peers struct {
	members instance.Members
	links   map[core.RouterID]link
	// nextRemote counts the heartbeats sent to routers of other data centres, to
	// send them in rotation.
	nextRemote int
	// superseded is true once another process has taken this router's seat.
	superseded   bool
	shuttingDown bool
	// canCoordinate is true once it is known what earlier processes in this seat
	// have leased out.
	canCoordinate bool
}

// ineligible reports whether this router should not be chosen as coordinator.
func (p *peers) ineligible() bool { return p.shuttingDown || p.superseded || !p.canCoordinate }

// link is the state of the heartbeat exchange with one router.
type link struct {
	// lastReceived is the last stamp received from the other router, and
	// lastEchoed the last stamp of this router that the other one echoed.
	lastReceived, lastEchoed Stamp
	// poolPermits is the number of permits that the other router holds in each
	// pool. The map is replaced, never modified.
	poolPermits map[core.Pool]int
	// claimsRequested is cleared by each heartbeat and not read: requests for claims
	// are answered at once.
	claimsRequested bool
	// lag is that of the other router's configuration.
	lag lag
}

type upstreams struct {
	byID map[core.UpstreamID]upstream.Upstream
	// list is replaced, never modified, when the state of an upstream changes.
	list []upstream.Upstream
}

// permitEntry holds the permits that this router grants for one upstream and its
// share of the upstream's limit.
type permitEntry struct {
	coordinator permit.Coordinator
	share       permit.Share
}

type permitTable map[core.UpstreamID]*permitEntry

type holdings struct {
	held     permit.Holdings
	requests map[uint64]pendingRequest
	lastID   uint64
}

// pendingRequest is a permit request that has not been decided.
type pendingRequest struct {
	upstream    core.UpstreamID
	pool        core.Pool
	coordinator permit.CoordinatorID
}

// New returns the tables of a router that starts now.
func New(now time.Time, s Settings) *Node {
	return &Node{
		settings:  s,
		started:   now,
		config:    table.New(table.RankConfig, configuration{}),
		peers:     table.New(table.RankInstances, peers{links: map[core.RouterID]link{}}),
		upstreams: table.New(table.RankUpstreams, upstreams{byID: map[core.UpstreamID]upstream.Upstream{}}),
		permits:   table.New(table.RankPermits, permitTable{}),
		holdings:  table.New(table.RankHoldings, holdings{requests: map[uint64]pendingRequest{}, lastID: initialRequestID(s.Incarnation)}),
		suspects:  table.New(table.RankSuspects, poison.Suspects{}),
	}
}

// requestIDsPerMS is how many permit requests a process may make for each
// millisecond between its start and that of the router's next process without
// their IDs overlapping.
const requestIDsPerMS = 1 << 10

// initialRequestID returns the ID below that of a process's first permit
// request. The processes of a router use different IDs, so that a late grant for
// one process never matches a request of the next.
func initialRequestID(in core.Incarnation) uint64 { return uint64(in) * requestIDsPerMS }

// Settings returns the settings of this router.
func (n *Node) Settings() Settings { return n.settings }

func (n *Node) self(now time.Time, p *peers) instance.Router {
	return instance.Router{
		ID: n.settings.ID, DataCentre: n.settings.DataCentre, Seat: n.settings.Seat,
		Address: n.settings.Address, Incarnation: n.settings.Incarnation,
		LastSeen: now, ShuttingDown: p.ineligible(),
	}
}
