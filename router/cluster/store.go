package cluster

import (
	"context"
	"fmt"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/relay"
)

// Feed names a series of records in the store, ordered by offset.
type Feed int

// The feeds of a fleet.
const (
	// OperatorFeed holds the configuration and the data centres that operators
	// have taken out of service.
	OperatorFeed Feed = iota
	// UpstreamFeed holds the entries that upstreams write about themselves.
	UpstreamFeed
	// RouterFeed holds the records that routers write about themselves.
	RouterFeed
)

// String returns the feed's name in logs.
func (f Feed) String() string { return [...]string{"operators", "upstreams", "routers"}[f] }

// Event is a parsed record of a feed. At most one field is set, but an upstream's
// entry that can't be parsed has both InvalidUpstream and Err. An event without a
// field set is ignored.
type Event struct {
	// Catalog is a new configuration.
	Catalog *catalog.Catalog
	// OutOfService is a data centre that was taken out of service, BackInService
	// one that was put back.
	OutOfService, BackInService core.DataCentre
	// Entry is an upstream's new entry; RemovedUpstream is an upstream whose entry
	// was removed.
	Entry           *roster.Entry
	RemovedUpstream core.UpstreamID
	// InvalidUpstream is an upstream whose newest entry can't be parsed. It says nothing of
	// the upstream: what the roster has of it stays.
	InvalidUpstream core.UpstreamID
	// Order is an operator's order to roll out a release; WithdrawnOrder states the pool whose
	// order was removed, and where.
	Order, WithdrawnOrder *rollout.Order
	// Member is a router that has registered.
	Member *fleet.Member
	// Err is the reason why the record could not be parsed.
	Err error
}

// Page holds consecutive events of a feed, or the newest one of each key.
type Page struct {
	Events []Event
	// Next is the offset from which to read on.
	Next uint64
	// Era is the number of the store's history: offsets of one era say nothing in another.
	// Zero if the store states none.
	Era uint64
}

// GapError reports that the store has dropped records that were not read yet.
type GapError struct {
	Feed Feed
	// From is the offset of the first record that was to be read.
	From uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records of %s from offset %d on were dropped before this router received them", e.Feed, e.From)
}

// PollMargin is how much longer than its wait a call of Store.Since may take.
const PollMargin = 600 * time.Millisecond

// Store is the client of the service that holds the feeds.
type Store interface {
	// Newest returns the newest record of each key. Page.Next is the offset from
	// which Since continues.
	Newest(ctx context.Context, f Feed) (Page, error)
	// Since returns the records from an offset on. If there are none it waits for
	// the first, at most for wait. A call that waits and gets no response fails by
	// PollMargin after that. The error is a *GapError if the store no longer has the
	// records.
	Since(ctx context.Context, f Feed, from uint64, wait time.Duration) (Page, error)
	// Register writes the record of a router; Deregister removes it.
	Register(ctx context.Context, m fleet.Member) error
	Deregister(ctx context.Context, id core.RouterID) error
}

// StatusPage holds the newest status of the roll-out of each pool.
type StatusPage struct {
	Statuses []fleet.RolloutStatus
	// End is the offset after the newest record, Era the number of the store's history.
	End, Era uint64
	// Errors are those of records that can't be parsed.
	Errors []error
}

// ConflictError reports an append that the store has refused because there are records from
// its offset on.
type ConflictError struct {
	At, End uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append at offset %d: the records end at %d", e.At, e.End)
}

// StatusStore is the client of the service that holds the statuses of roll-outs.
type StatusStore interface {
	// Statuses returns the newest status of each pool.
	Statuses(ctx context.Context) (StatusPage, error)
	// AppendStatus appends a status if the records end at an offset. The error is a
	// *ConflictError if they don't. After any other error, the status may be there, or come
	// later.
	AppendStatus(ctx context.Context, s fleet.RolloutStatus, at uint64) error
}

// MixedPoolPage holds the pools of which the store has a record as mixed pools.
type MixedPoolPage struct {
	Pools []core.Pool
	// End is the offset after the newest record.
	End uint64
}

// MixedPoolStore is the client of the service that holds the records of mixed pools.
type MixedPoolStore interface {
	// MixedPools returns the pools that have a record.
	MixedPools(ctx context.Context) (MixedPoolPage, error)
	// WriteMixedPool writes the record of a pool. Writer is the router that does so.
	WriteMixedPool(ctx context.Context, pool core.Pool, writer core.RouterID) error
	// RemoveMixedPool removes the record of a pool if the records end at an offset. The error is
	// a *ConflictError if they don't. After any other error, the record may be removed, or be
	// removed later.
	RemoveMixedPool(ctx context.Context, pool core.Pool, at uint64) error
}

// Adapter holds the parts of a router that depend on the platform on which it
// runs.
type Adapter struct {
	// Store holds the feeds. Incoming parses the headers of callers' requests and
	// sets those of refusals. Outgoing writes the headers of requests to upstreams
	// and parses those of their replies.
	Store    Store
	Incoming gateway.HeaderCodec
	Outgoing relay.HeaderCodec
	// Statuses holds the statuses of roll-outs; nil if there are no roll-outs.
	Statuses StatusStore
	// MixedPools holds the records of mixed pools.
	MixedPools MixedPoolStore
	// PartRecords holds the record of refused parts.
	PartRecords PartRecordStore
	// ParseCatalog parses the text of a configuration, ParseEntry that of an
	// upstream's entry.
	ParseCatalog func(text []byte) (*catalog.Catalog, error)
	ParseEntry   func(id core.UpstreamID, text []byte) (roster.Entry, error)
	// Identity is how to ask an upstream which process answers.
	Identity relay.Identity
	// FetchCache asks the engine at an address which prompt parts its cache holds.
	FetchCache func(ctx context.Context, address string) ([]prefix.Part, error)
}
