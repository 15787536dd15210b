package cluster

import (
	"context"
	"fmt"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/relay"
)

// Feed names a series of records in the store.
type Feed int

// The feeds of a fleet.
const (
	// Operators is what operators ask for.
	Operators Feed = iota
	// Upstreams is what upstreams say of themselves.
	Upstreams
	// Routers is what routers say of themselves.
	Routers
)

// String returns the word for logs.
func (f Feed) String() string { return [...]string{"operators", "upstreams", "routers"}[f] }

// Event is a record of a feed. One of the groups of fields is set.
type Event struct {
	// Catalog is a configuration.
	Catalog *catalog.Catalog
	// Out says that a data centre is taken out of service, In that it is back.
	Out, In core.DataCentre
	// Entry is an upstream's entry, Removed the upstream whose entry is gone.
	Entry   *roster.Entry
	Removed core.UpstreamID
	// Member is a router.
	Member *fleet.Member
	// Fault says why a record could not be read.
	Fault error
}

// Page is a part of a feed.
type Page struct {
	Events []Event
	// Next is the offset after the page.
	Next uint64
}

// GapError says that records were dropped before they were read.
type GapError struct {
	Feed Feed
	From uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records of %s from offset %d on were dropped", e.Feed, e.From)
}

// Store is where configuration and upstreams come from.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, f Feed) (Page, error)
	// Since returns the records from an offset on. It waits for the first one.
	Since(ctx context.Context, f Feed, from uint64, wait time.Duration) (Page, error)
	// Announce writes that a router exists, and Withdraw that it is gone.
	Announce(ctx context.Context, m fleet.Member) error
	Withdraw(ctx context.Context, id core.RouterID) error
}

// Adapter is what a deployment brings along.
type Adapter struct {
	Store    Store
	Incoming gateway.Dialect
	Outgoing relay.Dialect
	// Catalog reads the text of a configuration, Entry that of an upstream's
	// entry.
	Catalog func(text []byte) (*catalog.Catalog, error)
	Entry   func(id core.UpstreamID, text []byte) (roster.Entry, error)
	// Cache asks an engine which parts of prompts it has.
	Cache func(ctx context.Context, address string) ([]prefix.Part, error)
}
