// Package pool holds pools of upstreams and the rules for where requests go.
package pool

import (
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Kind says what the upstreams of a pool are.
type Kind string

const (
	// Model upstreams are engines that serve chat completions.
	Model Kind = "model"
	// Service upstreams are plain HTTP applications.
	Service Kind = "service"
)

// Pool is a pool as the sheet states it.
type Pool struct {
	Name core.Pool
	Kind Kind
	// Models are the model names that callers may ask this pool for.
	Models []string
	// Prefix is the path under which a service pool is reached.
	Prefix string
	// Once lists "METHOD /path" prefixes of requests that run at most once.
	Once []string
	// Bear is the number of requests that a warm upstream bears at a time.
	Bear int
	// Cold is the number that an upstream bears just after its start.
	Cold int
	// Ramp is the time from a start to the full limit.
	Ramp time.Duration
	// Multiple bounds an upstream's load to this multiple of the mean.
	Multiple float64
	// Longest is the longest time that one request may run.
	Longest time.Duration
	// Wait is the longest time that a request may wait for a permit.
	Wait time.Duration
}

// RunsOnce reports whether a request may not be repeated.
func (p Pool) RunsOnce(method, path string) bool {
	return slices.ContainsFunc(p.Once, func(pattern string) bool {
		m, prefix, ok := strings.Cut(pattern, " ")
		return ok && strings.EqualFold(m, method) && underPath(path, prefix)
	})
}

// underPath reports whether path is prefix or lies below it.
func underPath(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// ForModel returns the pool that serves a model.
func ForModel(pools []Pool, model string) (Pool, bool) {
	return find(pools, func(p Pool) bool {
		return p.Kind == Model && (slices.Contains(p.Models, model) || string(p.Name) == model)
	})
}

// ForPath returns the service pool with the longest prefix of path.
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
