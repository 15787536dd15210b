// Package prefix tracks which prompt parts each engine is assumed to hold in its
// prompt cache.
package prefix

import (
	"time"

	"camphorpulley.org/core"
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     core.Digest
	Tokens int
}

// TotalTokens returns the number of tokens in parts.
func TotalTokens(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

// CachedPart records that an engine holds a part in its cache.
type CachedPart struct {
	Upstream core.UpstreamID
	Part     Part
	// FromInventory is true if the engine itself reported the part. It may be one
	// that no other request shares.
	FromInventory bool
}

// Map is the table of cached parts by engine. The zero value is empty.
type Map struct {
	engines map[core.UpstreamID]*engine
	// updates holds the parts added since the last TakeUpdates.
	updates []CachedPart
	// lastSweep is when Sweep last dropped parts.
	lastSweep time.Time
}

type engine struct {
	parts  map[core.Digest]*cached
	tokens int
}

type cached struct {
	tokens int
	used   time.Time
	// fromInventory is true until a request uses the part; until then its tokens
	// don't count towards those of the engine.
	fromInventory bool
}

const (
	// usableFraction is the fraction of an engine's cache that is assumed to hold
	// parts; the rest is used by running requests.
	usableFraction = 0.7
	// maxUpdates bounds the parts that are sent to other routers at once.
	maxUpdates = 4096
	// maxAge is how long an unused part is assumed to stay in the cache.
	maxAge = 2 * time.Minute
)

// AddUsed records that an engine processes the parts of a request's prompt. Parts
// that are new are queued for the other routers. cacheTokens is the size of the
// engine's cache in tokens; zero means no limit.
func (m *Map) AddUsed(now time.Time, id core.UpstreamID, parts []Part, cacheTokens int) {
	for _, p := range parts {
		m.addUpdate(m.add(now, CachedPart{Upstream: id, Part: p}, cacheTokens), CachedPart{Upstream: id, Part: p})
	}
}

// AddInventory records the parts that an engine reports to hold. They are queued
// for the other routers each time, also if they are known.
func (m *Map) AddInventory(now time.Time, id core.UpstreamID, parts []Part) {
	for _, p := range parts {
		h := CachedPart{Upstream: id, Part: p, FromInventory: true}
		m.add(now, h, 0)
		m.addUpdate(true, h)
	}
}

// addUpdate queues a new part for the other routers, up to maxUpdates.
func (m *Map) addUpdate(isNew bool, h CachedPart) {
	if isNew && len(m.updates) < maxUpdates {
		m.updates = append(m.updates, h)
	}
}

// AddFromPeer records the parts that another router has sent.
func (m *Map) AddFromPeer(now time.Time, parts []CachedPart, cacheTokens int) {
	for _, h := range parts {
		m.add(now, h, cacheTokens)
	}
}

// TakeUpdates returns the parts added since the last call by AddUsed and
// AddInventory, for sending to the other routers.
func (m *Map) TakeUpdates() []CachedPart {
	updates := m.updates
	m.updates = nil
	return updates
}

// add records a part and evicts others if it doesn't fit. It reports whether the
// part was not known at the engine.
func (m *Map) add(now time.Time, h CachedPart, cacheTokens int) bool {
	e := m.engine(h.Upstream)
	k := e.parts[h.Part.ID]
	if k != nil && (h.FromInventory || !k.fromInventory) {
		k.used = now
		return false
	}
	e.parts[h.Part.ID] = &cached{tokens: h.Part.Tokens, used: now, fromInventory: h.FromInventory}
	if h.FromInventory {
		return true
	}
	e.tokens += h.Part.Tokens
	for limit := int(usableFraction * float64(cacheTokens)); cacheTokens > 0 && e.tokens > limit; {
		e.evict()
	}
	return k == nil
}

func (m *Map) engine(id core.UpstreamID) *engine {
	if m.engines == nil {
		m.engines = map[core.UpstreamID]*engine{}
	}
	e := m.engines[id]
	if e == nil {
		e = &engine{parts: map[core.Digest]*cached{}}
		m.engines[id] = e
	}
	return e
}

// evict drops the least recently used part, leaving out those that are known
// only from the inventory.
func (e *engine) evict() {
	var oldest core.Digest
	var at time.Time
	for id, k := range e.parts {
		if !k.fromInventory && (at.IsZero() || k.used.Before(at)) {
			oldest, at = id, k.used
		}
	}
	e.tokens -= e.parts[oldest].tokens
	delete(e.parts, oldest)
}

// CachedTokens returns the number of tokens in the longest run of parts from the
// start of a prompt that an engine holds.
func (m *Map) CachedTokens(now time.Time, id core.UpstreamID, parts []Part) int {
	e := m.engines[id]
	if e == nil {
		return 0
	}
	total := 0
	for _, p := range parts {
		k := e.parts[p.ID]
		if k == nil || now.Sub(k.used) > maxAge {
			break
		}
		total += p.Tokens
	}
	return total
}

// StoredTokens returns the number of tokens that an engine is assumed to hold
// for requests to share.
func (m *Map) StoredTokens(id core.UpstreamID) int {
	if e := m.engines[id]; e != nil {
		return e.tokens
	}
	return 0
}

// All returns the parts of all engines that were used within maxAge.
func (m *Map) All(now time.Time) []CachedPart {
	var all []CachedPart
	for id, e := range m.engines {
		for part, k := range e.parts {
			if now.Sub(k.used) < maxAge {
				all = append(all, CachedPart{Upstream: id, Part: Part{ID: part, Tokens: k.tokens}, FromInventory: k.fromInventory})
			}
		}
	}
	return all
}

// sweepInterval is the shortest time between two sweeps.
const sweepInterval = maxAge / 4

// Sweep drops parts that were not used within maxAge. It does nothing within
// sweepInterval of the last sweep.
func (m *Map) Sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, e := range m.engines {
		for id, k := range e.parts {
			if now.Sub(k.used) < maxAge {
				continue
			}
			if !k.fromInventory {
				e.tokens -= k.tokens
			}
			delete(e.parts, id)
		}
	}
}

// RemoveEngine drops all parts of an engine.
func (m *Map) RemoveEngine(id core.UpstreamID) { delete(m.engines, id) }
