// Package fleet holds the tables of a router whose configuration and upstreams
// come from a store, and the decisions that need several aggregates. A front
// end passes in requests, outcomes, messages and the present time.
//
// Routers agree on nothing here. What must hold over all of them, the rate of
// cold upstreams and the budget of retries, is split among the routers that
// may exist; what only makes answers better, such as load, health and caches,
// is told in beats and may be wrong.
package fleet

import (
	"sync/atomic"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Settings say who the router is and what bounds it.
type Settings struct {
	ID          core.RouterID
	Address     string
	DataCentre  core.DataCentre
	Incarnation core.Incarnation
	// Regions holds the region of each data centre.
	Regions map[core.DataCentre]string
	Retry   retry.Limits
	// Multiple is how many times the mean load an upstream may carry.
	Multiple float64
	// Drain is how long a leaving upstream serves on.
	Drain time.Duration
	// Evacuation is how long after a data centre went out of service its upstreams
	// may still get work.
	Evacuation time.Duration
	// Catalog reads the text of a configuration.
	Catalog func(text []byte) (*catalog.Catalog, error)
	// Entry reads the text of an upstream's entry.
	Entry func(id core.UpstreamID, text []byte) (roster.Entry, error)
}

// Fleet is one router's tables. Its methods may be called by many workers.
type Fleet struct {
	settings Settings
	started  time.Time
	// current is the catalog in force; requests read it without a lock.
	current  atomic.Pointer[catalog.Catalog]
	catalog  *table.Cell[catalog.Latest]
	members  *table.Cell[members]
	feed     *table.Cell[feed.Progress]
	roster   *table.Cell[upstreams]
	loads    *table.Cell[loads]
	parts    *table.Cell[prefix.Map]
	suspects *table.Cell[suspects]
	budgets  *table.Cell[map[core.Pool]*retry.SharedBudget]
}

type upstreams struct {
	roster roster.Roster
}

type suspects struct {
	table poison.Suspects
	// told holds crashes that the next beat tells.
	told []Crash
	// broken holds by address what ran when connections broke.
	broken map[string][]breakage
}

// breakage is a request whose connection to an upstream broke.
type breakage struct {
	crash Crash
	at    time.Time
}

// New returns the tables of a router that starts now.
func New(now time.Time, s Settings) *Fleet {
	return &Fleet{
		settings: s,
		started:  now,
		catalog:  table.New(table.RankConfig, catalog.Latest{}),
		members:  table.New(table.RankInstances, members{byID: map[core.RouterID]member{}}),
		feed:     table.New(table.RankFeeds, feed.Progress{}),
		roster:   table.New(table.RankUpstreams, upstreams{}),
		loads:    table.New(table.RankLoads, loads{}),
		parts:    table.New(table.RankParts, prefix.Map{}),
		suspects: table.New(table.RankSuspects, suspects{broken: map[string][]breakage{}}),
		budgets:  table.New(table.RankBudgets, map[core.Pool]*retry.SharedBudget{}),
	}
}

// Self returns who the router is.
func (f *Fleet) Self() Settings { return f.settings }

// Current returns the catalog in force; nil if there is none yet.
func (f *Fleet) Current() *catalog.Catalog { return f.current.Load() }

// Configure takes a catalog in. It reports whether the catalog is newer than
// the one in force.
func (f *Fleet) Configure(c *catalog.Catalog) bool {
	var newer bool
	f.catalog.Do(table.Hold{}, func(_ table.Hold, s *catalog.Latest) {
		if newer = s.Update(c); newer {
			f.current.Store(c.Index())
		}
	})
	return newer
}
