// Package prefix tracks which prompt parts each engine is assumed to hold in its
// prompt cache.
package prefix

import (
	"container/list"
	"slices"
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
	// FromInventory is true if the part is known from the engine's inventory, its own
	// report of the parts that it holds. It may be one that no other request shares.
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
	// used holds the ids of the parts that requests have used, the least recently seen first.
	used list.List
}

type cached struct {
	tokens int
	// lastSeen is when the part was last used by a request or reported by the engine,
	// as far as the router has learned.
	lastSeen time.Time
	// fromInventory is true until a request uses the part; until then its tokens
	// don't count towards those of the engine.
	fromInventory bool
	// place is the part's element in engine.used; nil while fromInventory.
	place *list.Element
}

const (
	// usableFraction is the fraction of an engine's cache that is assumed to hold
	// parts; the rest is used by running requests.
	usableFraction = 0.7
	// maxUpdates bounds the parts queued for the other routers; parts beyond it are
	// not sent.
	maxUpdates = 4096
	// maxAge is how long a part is assumed to stay in the cache after it was last seen.
	maxAge = 2 * time.Minute
)

// AddUsed records that an engine processes the parts of a request's prompt. Parts
// that are new are queued for the other routers. cacheTokens is the size of the
// engine's cache in tokens; zero means no limit.
func (m *Map) AddUsed(now time.Time, id core.UpstreamID, parts []Part, cacheTokens int) {
	var fresh []CachedPart
	// A part is of no use without those before it, so that the last ones are evicted first.
	for _, p := range slices.Backward(parts) {
		if c := (CachedPart{Upstream: id, Part: p}); m.add(now, c, cacheTokens) {
			fresh = append(fresh, c)
		}
	}
	for _, c := range slices.Backward(fresh) {
		m.addUpdate(true, c)
	}
}

// AddInventory records the parts that an engine reports that it holds. They are
// queued for the other routers each time, even if they are known.
func (m *Map) AddInventory(now time.Time, id core.UpstreamID, parts []Part) {
	for _, p := range parts {
		c := CachedPart{Upstream: id, Part: p, FromInventory: true}
		m.add(now, c, 0)
		m.addUpdate(true, c)
	}
}

// addUpdate queues a part for the other routers if it is new. It drops the part if
// maxUpdates are queued.
func (m *Map) addUpdate(isNew bool, c CachedPart) {
	if isNew && len(m.updates) < maxUpdates {
		m.updates = append(m.updates, c)
	}
}

// AddFromPeer records the parts that another router has sent, and returns those that
// were not known.
func (m *Map) AddFromPeer(now time.Time, parts []CachedPart, cacheTokens int) []CachedPart {
	var unknown []CachedPart
	for _, c := range slices.Backward(parts) {
		if m.add(now, c, cacheTokens) {
			unknown = append(unknown, c)
		}
	}
	slices.Reverse(unknown)
	return unknown
}

// TakeUpdates returns the parts added since the last call by AddUsed and
// AddInventory, for sending to the other routers.
func (m *Map) TakeUpdates() []CachedPart {
	updates := m.updates
	m.updates = nil
	return updates
}

// add records a part and evicts the least recently used ones, possibly this one,
// until the engine's tokens fit. It reports whether the part is new at the engine.
func (m *Map) add(now time.Time, c CachedPart, cacheTokens int) bool {
	e := m.engine(c.Upstream)
	held := e.parts[c.Part.ID]
	if held != nil && (c.FromInventory || !held.fromInventory) {
		held.lastSeen = now
		if held.place != nil {
			e.used.MoveToBack(held.place)
		}
		return false
	}
	added := &cached{tokens: c.Part.Tokens, lastSeen: now, fromInventory: c.FromInventory}
	e.parts[c.Part.ID] = added
	if c.FromInventory {
		return true
	}
	added.place = e.used.PushBack(c.Part.ID)
	e.tokens += c.Part.Tokens
	for limit := int(usableFraction * float64(cacheTokens)); cacheTokens > 0 && e.tokens > limit; {
		e.drop(e.used.Front().Value.(core.Digest))
	}
	return held == nil
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

// drop drops a part.
func (e *engine) drop(id core.Digest) {
	held := e.parts[id]
	delete(e.parts, id)
	if held.place != nil {
		e.used.Remove(held.place)
		e.tokens -= held.tokens
	}
}

// CachedTokens returns the number of tokens in the longest run of parts from the
// start of a prompt that an engine holds. A part that was last seen longer than
// maxAge ago is assumed to be gone.
func (m *Map) CachedTokens(now time.Time, id core.UpstreamID, parts []Part) int {
	e := m.engines[id]
	if e == nil {
		return 0
	}
	total := 0
	for _, p := range parts {
		held := e.parts[p.ID]
		if held == nil || now.Sub(held.lastSeen) > maxAge {
			break
		}
		total += p.Tokens
	}
	return total
}

// UsedPartTokens returns the tokens of an engine's parts that a request has used;
// parts known only from its inventory don't count.
func (m *Map) UsedPartTokens(id core.UpstreamID) int {
	if e := m.engines[id]; e != nil {
		return e.tokens
	}
	return 0
}

// All returns the parts of all engines that were seen within maxAge.
func (m *Map) All(now time.Time) []CachedPart {
	var all []CachedPart
	for id, e := range m.engines {
		for part, held := range e.parts {
			if now.Sub(held.lastSeen) < maxAge {
				all = append(all, CachedPart{Upstream: id, Part: Part{ID: part, Tokens: held.tokens}, FromInventory: held.fromInventory})
			}
		}
	}
	return all
}

// sweepInterval is the shortest time between two sweeps.
const sweepInterval = maxAge / 4

// Sweep drops parts that were not seen within maxAge. It does nothing within
// sweepInterval of the last sweep.
func (m *Map) Sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, e := range m.engines {
		for id, held := range e.parts {
			if now.Sub(held.lastSeen) >= maxAge {
				e.drop(id)
			}
		}
	}
}

// RemoveEngine drops all parts of an engine.
func (m *Map) RemoveEngine(id core.UpstreamID) { delete(m.engines, id) }
