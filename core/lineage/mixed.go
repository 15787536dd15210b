package lineage

import "camphorpulley.org/core"

// MixedPools is what a router knows of the store's records of mixed pools, which are those with
// upstreams of several releases. A router that starts learns from them that streams may have
// begun at releases whose upstreams have left, though no other router may remember it. The zero
// value has read nothing.
type MixedPools struct {
	// Read is true once the router has read the records, later than the upstreams' entries: a
	// pool that was mixed before has a record then.
	Read   bool
	byPool map[core.Pool]mixedRecord
}

// mixedRecord is what a router knows of the record of one pool.
type mixedRecord struct {
	// Listed is true while the store may have the record. Written is true once this router has
	// written it, until the pool isn't mixed any more.
	Listed, Written bool
}

// PoolReleases is how a router sees the releases of a pool.
type PoolReleases struct {
	Pool core.Pool
	// Mixed is true if the pool has had several releases within the life of a stream. Settled is
	// true if it has had a single one for so long that no stream needs the record any more.
	Mixed, Settled bool
	// Rank is the router's rank for the pool among those that it reaches.
	Rank int
}

// maxMixedWriters is how many routers write the record of a mixed pool: the store may refuse
// some of them.
const maxMixedWriters = 8

// MixedWork is what a router has to do at the store for the records of mixed pools.
type MixedWork struct {
	// Read is true if it has to read the records. Write and Remove are the pools whose record it
	// has to write or, if the store has one, to remove.
	Read          bool
	Write, Remove []core.Pool
}

// None reports whether there is nothing to do.
func (w MixedWork) None() bool { return !w.Read && len(w.Write) == 0 && len(w.Remove) == 0 }

// Update applies how the router sees the pools, and returns what it has to do at the store.
func (m *MixedPools) Update(pools []PoolReleases) MixedWork {
	w := MixedWork{Read: !m.Read}
	for _, p := range pools {
		r := m.byPool[p.Pool]
		if p.Mixed {
			r.Listed = true
		} else {
			r.Written = false
		}
		m.put(p.Pool, r)
		switch {
		case p.Mixed && !r.Written && p.Rank < maxMixedWriters:
			w.Write = append(w.Write, p.Pool)
		case p.Settled && r.Listed && p.Rank == 0:
			w.Remove = append(w.Remove, p.Pool)
		}
	}
	return w
}

// Apply applies the pools that have a record in the store.
func (m *MixedPools) Apply(listed []core.Pool) {
	m.Read = true
	for p, r := range m.byPool {
		r.Listed = false
		m.byPool[p] = r
	}
	for _, p := range listed {
		r := m.byPool[p]
		r.Listed = true
		m.put(p, r)
	}
}

// MarkWritten notes that the router has written the record of a pool.
func (m *MixedPools) MarkWritten(p core.Pool) { m.put(p, mixedRecord{Listed: true, Written: true}) }

// MarkRemoved notes that the router has removed the record of a pool.
func (m *MixedPools) MarkRemoved(p core.Pool) { m.put(p, mixedRecord{}) }

// Recheck notes that the store may have lost records, so that they are written again.
func (m *MixedPools) Recheck() {
	for p, r := range m.byPool {
		r.Written = false
		m.byPool[p] = r
	}
}

// Excludes reports whether a pool surely wasn't mixed before the router knew its upstreams.
func (m *MixedPools) Excludes(p core.Pool) bool { return m.Read && !m.byPool[p].Listed }

func (m *MixedPools) put(p core.Pool, r mixedRecord) {
	if m.byPool == nil {
		m.byPool = map[core.Pool]mixedRecord{}
	}
	m.byPool[p] = r
}
