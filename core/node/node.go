// Package node holds the tables of one router and the decisions that need
// several aggregates. A front end passes in requests, messages, reports and
// the present time, and carries out the effects that come back.
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

// Settings say who the router is.
type Settings struct {
	ID          core.RouterID
	DataCentre  core.DataCentre
	Seat        core.Seat
	Address     string
	Incarnation core.Incarnation
	// Lease is the timing of loans and heartbeats.
	Lease permit.Lease
	// Parse reads the text of a sheet.
	Parse func(text []byte) (config.Sheet, error)
}

// Node is one router's tables. Its methods may be called by many workers.
type Node struct {
	settings  Settings
	started   time.Time
	config    *table.Cell[configuration]
	peers     *table.Cell[peers]
	upstreams *table.Cell[upstreams]
	permits   *table.Cell[ledgers]
	holdings  *table.Cell[holdings]
	suspects  *table.Cell[poison.Suspects]
	// latest is the last view that was made, and generation counts the changes
	// after which a new one is needed.
	latest     atomic.Pointer[view]
	generation atomic.Uint64
}

type configuration struct {
	reader config.Reader
	sheet  config.Sheet
	// number is the revision that sheet was read from.
	number core.Offset
	fault  error
}

type peers struct {
	members instance.Members
	links   map[core.RouterID]link
	// turn rotates the foreign routers that get a heartbeat.
	turn int
	// superseded is set once another process has taken the own seat.
	superseded bool
	leaving    bool
	// settled is set once the own shares are free of earlier processes' loans.
	settled bool
}

// away reports whether the own router should not be chosen as keeper.
func (p *peers) away() bool { return p.leaving || p.superseded || !p.settled }

// link is what is known of the exchange of heartbeats with one router.
type link struct {
	// theirs is the last stamp received, mine the last own one echoed.
	theirs, mine Stamp
	running      map[core.Pool]int
	// speak is set while the other router wants claims.
	speak bool
}

type upstreams struct {
	byID map[core.UpstreamID]upstream.Upstream
	// list is replaced, never changed, when a state changes.
	list []upstream.Upstream
}

// ledger is one upstream's account of permits.
type ledger struct {
	keeper permit.Keeper
	share  permit.Share
}

type ledgers map[core.UpstreamID]*ledger

type holdings struct {
	held permit.Holdings
	asks map[uint64]pending
	next uint64
}

// pending is an ask that has no answer yet.
type pending struct {
	upstream core.UpstreamID
	pool     core.Pool
	keeper   permit.Borrower
}

// New returns the tables of a router that starts now.
func New(now time.Time, s Settings) *Node {
	return &Node{
		settings:  s,
		started:   now,
		config:    table.New(table.RankConfig, configuration{}),
		peers:     table.New(table.RankInstances, peers{links: map[core.RouterID]link{}}),
		upstreams: table.New(table.RankUpstreams, upstreams{byID: map[core.UpstreamID]upstream.Upstream{}}),
		permits:   table.New(table.RankPermits, ledgers{}),
		holdings:  table.New(table.RankHoldings, holdings{asks: map[uint64]pending{}, next: firstAsk(s.Incarnation)}),
		suspects:  table.New(table.RankSuspects, poison.Suspects{}),
	}
}

// asksPerMS is how many asks a process may make for each millisecond that has
// passed before the next one starts, for their ids to differ.
const asksPerMS = 1 << 10

// firstAsk returns the id below the first ask of a process. The ids of a
// router's processes differ, so that a late answer to one process never
// answers an ask of the next.
func firstAsk(in core.Incarnation) uint64 { return uint64(in) * asksPerMS }

// Self returns who the router is.
func (n *Node) Self() Settings { return n.settings }

func (n *Node) self(now time.Time, p *peers) instance.Router {
	return instance.Router{
		ID: n.settings.ID, DataCentre: n.settings.DataCentre, Seat: n.settings.Seat,
		Address: n.settings.Address, Incarnation: n.settings.Incarnation,
		Heard: now, Leaving: p.away(),
	}
}
