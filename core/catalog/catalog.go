// Package catalog holds the configuration that a fleet reads from its store: routes,
// pools and accounts. Each version replaces the one before it as a whole. It is
// separate from the sheet of package config.
package catalog

import (
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Kind is the kind of the requests of a route. Route.Repeatable reports whether they
// may run more than once.
type Kind int

const (
	// AtMostOnce requests run at most once. It is the zero value, so that an unset
	// field never permits a repetition.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// PoolWeight is a pool of a route and its weight among the pools of the route.
type PoolWeight struct {
	Pool   core.Pool
	Weight int
}

// Route defines to which pools the requests for a host and a path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the whole answer.
	Timeout time.Duration
	// LatencyObjective is the target for the time to an answer, or to the first
	// event of a stream.
	LatencyObjective time.Duration
	// EventTimeout is the target for the time between two events of a stream.
	EventTimeout time.Duration
	// MaxRuns is the largest number of attempts that may run one request; an attempt
	// that was declined or sent nothing doesn't count.
	MaxRuns int
	// Priority is zero for the most urgent requests.
	Priority int
	Pools    []PoolWeight
	// Public routes need no API key.
	Public bool
	// Deterministic is true if every run gives the same answer, so that a broken
	// stream may continue at another upstream.
	Deterministic bool
	// Regions are the regions where requests may run; empty permits all.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Deterministic)
}

// PickPool chooses a pool by weight for the digest of a request, always the same
// one for the same digest. It returns an empty name if no pool has a weight.
func (r Route) PickPool(d core.Digest) core.Pool {
	total := 0
	for _, w := range r.Pools {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(d % core.Digest(total))
	for _, w := range r.Pools {
		if at -= max(w.Weight, 0); at < 0 {
			return w.Pool
		}
	}
	return ""
}

// Engine describes the model engines of a pool.
type Engine struct {
	// CacheTokens is the size of the KV cache in tokens.
	CacheTokens int
}

// Pool is the configuration of a pool.
type Pool struct {
	Name core.Pool
	// ColdRate is the number of requests per second that a cold upstream can serve.
	ColdRate float64
	// Engine is nil for a pool of plain applications.
	Engine *Engine
}

// Account is the configuration of a client account.
type Account struct {
	Name core.Account
	// Priority replaces that of the route unless it is nil.
	Priority *int
	// Regions are the regions where the account's requests may run; empty permits
	// all.
	Regions []string
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes is the size of the largest request body that is accepted; zero
	// stands for the front end's default.
	MaxBodyBytes int
}

// Catalog is one version of the configuration. It is immutable after Index.
type Catalog struct {
	Version uint64
	Routes  []Route
	Pools   map[core.Pool]Pool
	// Keys maps API keys to accounts; nil if no key is required.
	Keys   map[string]Account
	Limits Limits
	// Source is the encoded form from which the catalog was decoded.
	Source []byte

	byHost map[string][]*Route
}

// Index builds the lookup table for Match. It must be called before Match.
func (c *Catalog) Index() *Catalog {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	return c
}

// Match returns the route of the host with the longest Prefix that path begins with.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Latest keeps the newest catalog. The zero value has none.
type Latest struct {
	// Current is nil until the first Update.
	Current *Catalog
}

// Update makes c the current catalog if its version is newer, and reports whether
// it did.
func (l *Latest) Update(c *Catalog) bool {
	if c == nil || (l.Current != nil && c.Version <= l.Current.Version) {
		return false
	}
	l.Current = c
	return true
}
