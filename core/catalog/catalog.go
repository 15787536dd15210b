// Package catalog holds what the operators have configured: routes, pools and
// accounts, as one version that replaces the one before it.
package catalog

import (
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Kind says what may be repeated of a route's requests.
type Kind int

const (
	// Once is a request that runs at most once. It is the zero value, so that a
	// forgotten field never permits a repetition.
	Once Kind = iota
	// Safe is a request that may run any number of times.
	Safe
	// Stream is answered by a series of events.
	Stream
)

// Share is the part of a route's requests that one pool gets.
type Share struct {
	Pool   core.Pool
	Weight int
}

// Route says where the requests of one host and path go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to an answer, or to the first event of a stream.
	Objective time.Duration
	// Gap is the longest pause between the events of a stream.
	Gap time.Duration
	// Attempts is the number of upstreams that may run one request.
	Attempts int
	// Priority is zero for the most urgent requests.
	Priority int
	Shares   []Share
	// Public routes need no key.
	Public bool
	// Resume is set if a broken stream may go on at another upstream.
	Resume bool
	// Regions are where requests may run; empty permits all.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// Pick returns the pool for a request, the same one for the same digest.
func (r Route) Pick(d core.Digest) core.Pool {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(d % core.Digest(total))
	for _, s := range r.Shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Pool
		}
	}
	return ""
}

// Engine describes the model engines of a pool.
type Engine struct {
	// MemoryTokens is the size of the KV cache.
	MemoryTokens int
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name core.Pool
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
	// Engine is nil for a pool of plain services.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name core.Account
	// Priority replaces that of the route; nil leaves it.
	Priority *int
	// Regions are where the account's requests may run; empty permits all.
	Regions []string
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int
}

// Catalog is one version of the configuration. It is never changed once made.
type Catalog struct {
	Version uint64
	Routes  []Route
	Pools   map[core.Pool]Pool
	// Keys holds the accounts by API key; nil if no key is asked for.
	Keys   map[string]Account
	Limits Limits
	// Source is the text that the catalog was read from.
	Source []byte

	byHost map[string][]*Route
}

// Index prepares the catalog for Match.
func (c *Catalog) Index() *Catalog {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	return c
}

// Match returns the route of a host with the longest prefix of path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Shelf keeps the newest catalog. The zero value has none.
type Shelf struct {
	Current *Catalog
}

// Offer takes a catalog in if it is newer than the current one. It reports
// whether it did; an older version never comes back.
func (s *Shelf) Offer(c *Catalog) bool {
	if c == nil || (s.Current != nil && c.Version <= s.Current.Version) {
		return false
	}
	s.Current = c
	return true
}
