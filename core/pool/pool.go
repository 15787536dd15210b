// Package pool holds pools of upstreams and the rules for where requests may go.
package pool

import (
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Kind is the kind of a pool's upstreams.
type Kind string

const (
	// Model upstreams are engines that serve chat completions.
	Model Kind = "model"
	// Service upstreams are plain HTTP applications.
	Service Kind = "service"
)

// Pool is the configuration of a pool in the sheet.
type Pool struct {
	Name core.Pool
	Kind Kind
	// Models are the model names that callers may request from this pool.
	Models []string
	// Prefix is the path prefix of the requests to a service pool.
	Prefix string
	// AtMostOnce lists patterns "METHOD /path" of requests that run at most once. A
	// pattern covers the path and all paths below it.
	AtMostOnce []string
	// Capacity is the number of requests that a warm upstream serves at a time.
	Capacity int
	// ColdCapacity is the number that an upstream serves at a time just after its
	// start.
	ColdCapacity int
	// RampTime is the time from the start of an upstream to its full capacity.
	RampTime time.Duration
	// LoadFactor bounds the load of an upstream to this multiple of the mean.
	LoadFactor float64
	// MaxRunTime is the longest time that a request may run.
	MaxRunTime time.Duration
	// MaxWait is the longest time that a request may wait for a permit.
	MaxWait time.Duration
}

// IsAtMostOnce reports whether a request may run at most once.
func (p Pool) IsAtMostOnce(method, path string) bool {
	return slices.ContainsFunc(p.AtMostOnce, func(pattern string) bool {
		m, prefix, ok := strings.Cut(pattern, " ")
		return ok && strings.EqualFold(m, method) && underPath(path, prefix)
	})
}

// underPath reports whether path, which may include a query, is prefix or lies below
// it.
func underPath(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// ForModel returns the model pool that lists the model or has its name.
func ForModel(pools []Pool, model string) (Pool, bool) {
	return find(pools, func(p Pool) bool {
		return p.Kind == Model && (slices.Contains(p.Models, model) || string(p.Name) == model)
	})
}

// ForPath returns the service pool with the longest Prefix that is path or a path
// above it.
func ForPath(pools []Pool, path string) (Pool, bool) {
	matches := slices.DeleteFunc(slices.Clone(pools), func(p Pool) bool {
		return p.Kind != Service || !underPath(path, p.Prefix)
	})
	if len(matches) == 0 {
		return Pool{}, false
	}
	return slices.MaxFunc(matches, func(a, b Pool) int { return len(a.Prefix) - len(b.Prefix) }), true
}

func find(pools []Pool, match func(Pool) bool) (Pool, bool) {
	i := slices.IndexFunc(pools, match)
	if i < 0 {
		return Pool{}, false
	}
	return pools[i], true
}
