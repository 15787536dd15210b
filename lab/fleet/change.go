package main

import (
	"encoding/binary"
	"time"

	"camphorpulley.org/core/catalog"
)

// versionBytes is the size of the version at the beginning of a catalog's text.
const versionBytes = 8

// catalogText returns the text of a version of the catalog, of a size in bytes.
func catalogText(version uint64, size int) []byte {
	text := make([]byte, max(size, versionBytes))
	binary.BigEndian.PutUint64(text, version)
	return text
}

// parseCatalog returns the version of the catalog that a text states. Versions differ in
// nothing else.
func (sim *simulation) parseCatalog(text []byte) (*catalog.Catalog, error) {
	c := *sim.catalog
	c.Version, c.Source = binary.BigEndian.Uint64(text), text
	return &c, nil
}

// storeDelay is the longest time until the store has begun to answer a read that waits for a
// change.
const storeDelay = 20 * time.Millisecond

// scheduleChanges changes the configuration, which the routers that reach the store read.
func (sim *simulation) scheduleChanges(c ChangeSection) {
	change := func(now time.Time) {
		version := sim.catalog.Version + 1
		changed := *sim.catalog
		changed.Version, changed.Source = version, catalogText(version, c.Bytes)
		sim.catalog, sim.changedAt = &changed, now
		for i, r := range sim.routers {
			r.storeless = float64(i%storelessCycle) < c.Cut*storelessCycle
			if !r.storeless {
				sim.readCatalog(now, r, changed)
			}
		}
	}
	for i := range c.Count {
		sim.after(sim.scenario.Run.Warmup+c.At+time.Duration(i)*c.Gap, change)
	}
}

// storelessCycle is the number of consecutive routers among which the share of those without
// the store is kept.
const storelessCycle = 20

// readCatalog lets a router read the catalog from the store.
func (sim *simulation) readCatalog(now time.Time, r *router, c catalog.Catalog) {
	epoch := r.epoch
	answered := now.Add(time.Duration(sim.random.Int64N(int64(storeDelay))))
	sim.events.add(answered, func(now time.Time) {
		sim.events.add(r.in.transfer(now, len(c.Source), sim.scenario.Fleet.Link), func(now time.Time) {
			if r.epoch == epoch && r.fleet.ApplyCatalog(now, &c) {
				sim.recordApplied(now, c.Version)
			}
		})
	})
}

// recordApplied records that a router has applied a version of the catalog.
func (sim *simulation) recordApplied(now time.Time, version uint64) {
	if version == sim.catalog.Version {
		sim.figures.applied = max(sim.figures.applied, now.Sub(sim.changedAt))
	}
}
