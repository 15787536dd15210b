// Package prefix holds what is known of which engine has which parts of
// prompts in its cache.
package prefix

import (
	"time"

	"camphorpulley.org/core"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     core.Digest
	Tokens int
}

// Sum returns the tokens of some parts.
func Sum(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

// Held says that an engine has read a part.
type Held struct {
	Upstream core.UpstreamID
	Part     Part
	// Listed is set if the engine itself has named the part. It may be one that
	// no other request shares.
	Listed bool
}

// Map is the table of parts by engine. The zero value is empty.
type Map struct {
	engines map[core.UpstreamID]*engine
	// fresh holds what was learned since the last Take.
	fresh []Held
	// swept is when parts that aren't used were dropped last.
	swept time.Time
}

type engine struct {
	parts  map[core.Digest]*kept
	tokens int
}

type kept struct {
	tokens int
	used   time.Time
	// listed is set until a request has used the part; it doesn't count towards
	// the tokens that the engine has for requests to share.
	listed bool
}

const (
	// usable is the part of an engine's memory in which parts are taken to be
	// kept; the rest is for running requests.
	usable = 0.7
	// freshLimit bounds what is told to other routers at once.
	freshLimit = 4096
	// stale is how long a part that isn't used is taken to be kept.
	stale = 2 * time.Minute
)

// Read takes in that an engine reads parts for a request. Memory is the size
// of the engine's cache in tokens.
func (m *Map) Read(now time.Time, id core.UpstreamID, parts []Part, memory int) {
	for _, p := range parts {
		m.tell(m.keep(now, Held{Upstream: id, Part: p}, memory), Held{Upstream: id, Part: p})
	}
}

// List takes in what an engine says that it has. It is told to others each
// time.
func (m *Map) List(now time.Time, id core.UpstreamID, parts []Part) {
	for _, p := range parts {
		h := Held{Upstream: id, Part: p, Listed: true}
		m.keep(now, h, 0)
		m.tell(true, h)
	}
}

func (m *Map) tell(isNew bool, h Held) {
	if isNew && len(m.fresh) < freshLimit {
		m.fresh = append(m.fresh, h)
	}
}

// Hear takes in what another router has learned.
func (m *Map) Hear(now time.Time, held []Held, memory int) {
	for _, h := range held {
		m.keep(now, h, memory)
	}
}

// Take returns what was learned since the last call.
func (m *Map) Take() []Held {
	fresh := m.fresh
	m.fresh = nil
	return fresh
}

// keep reports whether the part was not known at the engine.
func (m *Map) keep(now time.Time, h Held, memory int) bool {
	e := m.engine(h.Upstream)
	k := e.parts[h.Part.ID]
	if k != nil && (h.Listed || !k.listed) {
		k.used = now
		return false
	}
	e.parts[h.Part.ID] = &kept{tokens: h.Part.Tokens, used: now, listed: h.Listed}
	if h.Listed {
		return true
	}
	e.tokens += h.Part.Tokens
	for limit := int(usable * float64(memory)); memory > 0 && e.tokens > limit; {
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
		e = &engine{parts: map[core.Digest]*kept{}}
		m.engines[id] = e
	}
	return e
}

// evict drops the least recently used part.
func (e *engine) evict() {
	var oldest core.Digest
	var at time.Time
	for id, k := range e.parts {
		if !k.listed && (at.IsZero() || k.used.Before(at)) {
			oldest, at = id, k.used
		}
	}
	e.tokens -= e.parts[oldest].tokens
	delete(e.parts, oldest)
}

// Tokens returns how many tokens of a prompt's beginning an engine has.
func (m *Map) Tokens(now time.Time, id core.UpstreamID, parts []Part) int {
	e := m.engines[id]
	if e == nil {
		return 0
	}
	total := 0
	for _, p := range parts {
		k := e.parts[p.ID]
		if k == nil || now.Sub(k.used) > stale {
			break
		}
		total += p.Tokens
	}
	return total
}

// Stored returns how many tokens an engine is taken to have.
func (m *Map) Stored(id core.UpstreamID) int {
	if e := m.engines[id]; e != nil {
		return e.tokens
	}
	return 0
}

// All returns the parts that engines have, as far as they were used lately.
func (m *Map) All(now time.Time) []Held {
	var all []Held
	for id, e := range m.engines {
		for part, k := range e.parts {
			if now.Sub(k.used) < stale {
				all = append(all, Held{Upstream: id, Part: Part{ID: part, Tokens: k.tokens}, Listed: k.listed})
			}
		}
	}
	return all
}

// sweepEvery is the time between two sweeps.
const sweepEvery = stale / 4

// Sweep drops parts that were not used for long. It does nothing if the last
// sweep was a short while ago.
func (m *Map) Sweep(now time.Time) {
	if now.Sub(m.swept) < sweepEvery {
		return
	}
	m.swept = now
	for _, e := range m.engines {
		for id, k := range e.parts {
			if now.Sub(k.used) < stale {
				continue
			}
			if !k.listed {
				e.tokens -= k.tokens
			}
			delete(e.parts, id)
		}
	}
}

// Forget drops all that is known of an engine.
func (m *Map) Forget(id core.UpstreamID) { delete(m.engines, id) }
