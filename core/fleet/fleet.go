// Package fleet holds the shared tables of a router whose configuration and
// upstreams come from a store, and the decisions that need several of them. A front
// end passes in requests, outcomes, messages and the current time.
//
// Routers use no consensus protocol. Limits that apply to all of them together, the
// request rate of cold upstreams and the retry budget, are split among the routers
// that may exist. Load, health and cache contents only improve decisions: they are
// sent in heartbeats and may be wrong.
package fleet

import (
	"sync/atomic"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Settings hold the identity and the limits of a router.
type Settings struct {
	ID         core.RouterID
	Address    string
	DataCentre core.DataCentre
	// Detour is the address on which the router takes requests that others can't send to
	// upstreams; empty if it takes none.
	Detour string
	// Capacity is the processor time that the router may use, in hundredths of a core; zero if it
	// isn't stated.
	Capacity    int
	Incarnation core.Incarnation
	// Regions holds the region of each data centre.
	Regions map[core.DataCentre]string
	Retry   retry.Limits
	// Restarted is true if an earlier process of the router may have made retries.
	Restarted bool
	// MaxLoadFactor is the highest load of an upstream as a multiple of the pool's
	// mean.
	MaxLoadFactor float64
	// Drain is how long an upstream still serves after its entry was removed without
	// notice. It also bounds the age of the router's view of the entries.
	Drain time.Duration
	// Evacuation is how long after a data centre went out of service its upstreams
	// may still be used. They get no new work, but prompts are fetched from them for
	// half of it.
	Evacuation time.Duration
	// LimitGrace is how long after an upstream has first named a limit of requests per
	// second all routers together may exceed it.
	LimitGrace time.Duration
	// Rollout bounds the roll-outs of new releases. With a share of zero there are none.
	Rollout rollout.Limits
	// Links is what the links to other data centres cost; zero leaves placement as it is. Its
	// delay counts until one is measured.
	Links locality.Link
	// ParseCatalog parses the text of a catalog.
	ParseCatalog func(text []byte) (*catalog.Catalog, error)
	// ParseEntry parses the text of an upstream's entry.
	ParseEntry func(id core.UpstreamID, text []byte) (roster.Entry, error)
}

// Fleet holds one router's tables. Its methods are safe for concurrent use.
type Fleet struct {
	settings Settings
	started  time.Time
	// current is the catalog in force; requests read it without a lock.
	current  atomic.Pointer[catalog.Catalog]
	catalog  *table.Cell[catalogs]
	members  *table.Cell[members]
	feed     *table.Cell[feed.Progress]
	roster   *table.Cell[upstreams]
	rollouts *table.Cell[rollouts]
	states   *table.Cell[states]
	parts    *table.Cell[prefix.Map]
	suspects *table.Cell[suspects]
	lineage  *table.Cell[lineage.Records]
	mixed    *table.Cell[lineage.MixedPools]
	digests  *table.Cell[digests]
	budgets  *table.Cell[map[core.Pool]*retry.SharedBudget]
	slots    *table.Cell[slots]
}

// catalogs is the table of the newest catalog and of its transfers between routers.
type catalogs struct {
	latest catalog.Latest
	// appliedAt is when a router is first known to have applied it.
	appliedAt time.Time
	fetch     catalog.Fetch
	supply    catalog.Supply
	// watch is how far the routers have read the operators' records.
	watch feed.Watch
}

// upstreams is the table of the upstreams from discovery.
type upstreams struct {
	roster roster.Roster
}

// suspects is the table of requests that were running when upstreams crashed, and of
// the parts of their prompts.
type suspects struct {
	table poison.Suspects
	// parts holds the parts of prompts that may be deadly.
	parts poison.Parts
	// stored is what the router knows of the store's record of these.
	stored poison.StoredParts
	// unsent holds the crashes to be sent with the next heartbeat.
	unsent []Crash
	// breaks holds the requests on broken connections.
	breaks poison.Breaks
}

// New returns the empty tables of a router that starts now.
func New(now time.Time, s Settings) *Fleet {
	return &Fleet{
		settings: s,
		started:  now,
		catalog:  table.New(table.RankConfig, catalogs{}),
		members:  table.New(table.RankInstances, members{byID: map[core.RouterID]member{}}),
		feed:     table.New(table.RankFeeds, feed.Progress{}),
		roster:   table.New(table.RankUpstreams, upstreams{}),
		rollouts: table.New(table.RankRollouts, rollouts{}),
		states:   table.New(table.RankLoads, states{}),
		parts:    table.New(table.RankParts, prefix.Map{}),
		suspects: table.New(table.RankSuspects, suspects{}),
		lineage:  table.New(table.RankLineage, lineage.Records{}),
		mixed:    table.New(table.RankMixedPools, lineage.MixedPools{}),
		digests:  table.New(table.RankDigests, digests{}),
		budgets:  table.New(table.RankBudgets, map[core.Pool]*retry.SharedBudget{}),
		slots:    table.New(table.RankSlots, slots{last: uint64(now.UnixMicro())}),
	}
}

// Settings returns the router's settings.
func (f *Fleet) Settings() Settings { return f.settings }

// Catalog returns the catalog in force; nil if there is none yet.
func (f *Fleet) Catalog() *catalog.Catalog { return f.current.Load() }

// ApplyCatalog puts a catalog in force if it is newer than the current one, and reports
// whether it is.
func (f *Fleet) ApplyCatalog(now time.Time, c *catalog.Catalog) bool {
	var newer bool
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) {
		if newer = t.latest.Update(c); newer {
			t.appliedAt = t.fetch.Since(now, c.Version)
			f.current.Store(c.Index())
		}
	})
	return newer
}
