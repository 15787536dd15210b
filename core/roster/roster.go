// Package roster keeps the upstreams known from discovery and decides which of
// them may receive work.
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Roster is the table of upstreams. The zero value is empty.
type Roster struct {
	byID map[core.UpstreamID]Upstream
	// feed holds what the feed has said of the upstreams in byID.
	feed map[core.UpstreamID]FeedState
	// outSince maps each data centre that is out of service to the time when it
	// went out.
	outSince map[core.DataCentre]time.Time
	// coldUntil maps each data centre that came back into service to the time until which its
	// upstreams count as cold.
	coldUntil map[core.DataCentre]time.Time
	// list caches the result of All. It is replaced, never modified.
	list []Upstream
	// replaced holds the processes whose entry that of another release has replaced, with
	// the time as RemovedAt.
	replaced []Upstream
	// unavailable is true while the store doesn't answer.
	unavailable bool
	// outages is the number of the store's outages. One that begins within RecoveryGrace
	// after another continues it.
	outages int
	// recoveredAt is when the store last answered again; zero before the first outage
	// has ended.
	recoveredAt time.Time
	// reachedAt is since when the router has reached the store in other ways than by reading entries;
	// zero if it hasn't since the outage began.
	reachedAt time.Time
	// recoveries counts how often it did.
	recoveries int
}

const (
	// RecoveryGrace is how long after the store's recovery an upstream whose entry
	// was lost in the outage may take to publish it again; the platform needs about
	// two seconds.
	RecoveryGrace = 2 * time.Second
	// RemovedRetention is how long removed entries are kept, so that a delayed
	// copy of an entry doesn't restore its upstream, and so that the releases of a pool are
	// known for that long.
	RemovedRetention = time.Minute
	// ReturnTime is how long the upstreams of a data centre that comes back into service count
	// as cold, whatever their entries say: nothing was sent to them, and it takes two
	// heartbeats and a read until an entry surely shows that they are.
	ReturnTime = 3 * time.Second
)

// Change describes the effect of an entry on the roster.
type Change struct {
	ID core.UpstreamID
	// Kind is "new", "restarted", "returned", "confirmed", "updated", "draining", "removed", or
	// "contradicted": the feed shows an entry of a process with an earlier start than the one known.
	// It was written late, or the time of day of the process's host was set back.
	Kind string
	// Release is the software release of the entry.
	Release string
	// NewProcess is true if the entry belongs to another process of the upstream,
	// so that state kept for the previous one is no longer valid.
	NewProcess bool
}

// Put adds or updates an entry that was read from the store. It returns true if
// that makes a change that matters to requests. An older entry of the same
// process, or one of an earlier process, is ignored, unless it confirms a later one that only
// copies have shown. So is one that repeats a removed entry.
func (r *Roster) Put(now time.Time, e Entry) (Change, bool) {
	if state := r.feed[e.ID]; state.ignores(e) {
		if e.StartedMS == state.Last.StartedMS {
			return Change{}, false
		}
		return Change{ID: e.ID, Kind: "contradicted", Release: e.Release}, true
	}
	r.recordEntry(now, e)
	old, known := r.byID[e.ID]
	switch {
	case old.RemovedAhead && !e.laterThan(old.Entry):
		return Change{}, false
	case known && old.laterThan(e):
		return r.confirm(old, e)
	}
	return r.put(now, e, time.Time{})
}

// confirm confirms the entry of the roster, which copies have shown, by an earlier one of the same
// process that the store shows: the upstream is there, also if a removal that the store showed
// before was taken for that of the later entry.
func (r *Roster) confirm(u Upstream, e Entry) (Change, bool) {
	if u.StartedMS != e.StartedMS || (u.RemovedAt.IsZero() && u.UnconfirmedSince.IsZero()) {
		return Change{}, false
	}
	change := Change{ID: u.ID, Kind: "confirmed", Release: u.Release}
	if !u.RemovedAt.IsZero() {
		change.Kind = "returned"
	}
	if u.Draining {
		change.Kind = "draining"
	}
	r.store(Upstream{Entry: u.Entry, ColdUntil: u.ColdUntil})
	return change, true
}

func (r *Roster) put(now time.Time, e Entry, unconfirmedSince time.Time) (Change, bool) {
	old, known := r.byID[e.ID]
	confirmed := unconfirmedSince.IsZero() && !old.UnconfirmedSince.IsZero()
	u := Upstream{Entry: e, ColdUntil: later(now.Add(e.ColdRemaining), r.coldUntil[e.DataCentre]), UnconfirmedSince: unconfirmedSince}
	change, changed := Change{ID: e.ID, Release: e.Release}, true
	switch {
	case !known:
		change.Kind, change.NewProcess = "new", true
	case e.StartedMS != old.StartedMS || e.Address != old.Address || e.Release != old.Release:
		change.Kind, change.NewProcess = "restarted", true
		if e.Release != old.Release {
			old.RemovedAt = now
			r.replaced = append(r.replaced, old)
		}
	case !old.RemovedAt.IsZero():
		change.Kind = "returned"
	case confirmed && old.RemovedAt.IsZero():
		change.Kind = "confirmed"
	case e.equivalent(old.Entry) && !u.coldUntilChanged(now, old):
		changed = false
	default:
		change.Kind = "updated"
	}
	if e.Draining && changed {
		change.Kind = "draining"
	}
	r.store(u)
	return change, changed
}

// Remove marks an entry as removed. It returns false if the entry is unknown or
// was removed before.
func (r *Roster) Remove(now time.Time, id core.UpstreamID) (Change, bool) {
	u, ok := r.byID[id]
	if !ok || !u.RemovedAt.IsZero() {
		return Change{}, false
	}
	u.RemovedAt = now
	if !u.Draining && r.storeUnreliable(now) && !r.seenSinceRecovery(id) {
		u.RemovedInOutage = r.outages
	}
	r.store(u)
	return Change{ID: id, Kind: "removed", Release: u.Release}, true
}

// RemoveEntry marks an upstream as removed whose last entry another router has sent. It
// returns false if that changes nothing: the entry of the roster is a later one, or is
// already removed, unless it is one that disappeared in an outage and e is later. If the upstream is unknown, the entry is kept, so that a copy of it in the
// store doesn't bring the upstream back.
func (r *Roster) RemoveEntry(now time.Time, e Entry) (Change, bool) {
	old, known := r.byID[e.ID]
	if !known {
		r.store(Upstream{Entry: e, RemovedAt: now, RemovedAhead: true})
		return Change{}, false
	}
	if old.laterThan(e) {
		return Change{}, false
	}
	change, changed := r.Remove(now, e.ID)
	u := r.byID[e.ID]
	u.RemovedAhead = true
	if u.RemovedInOutage > 0 && !changed && e.laterThan(old.Entry) {
		// It came back after the outage, and left.
		u.RemovedInOutage = 0
		change, changed = Change{ID: e.ID, Kind: "removed", Release: u.Release}, true
	}
	if u.StartedMS == e.StartedMS {
		u.Entry = e
	}
	r.store(u)
	return change, changed
}

// ReplaceAll applies a complete read of the store: it puts all entries and removes
// those of the roster that are not among them, except those whose entry is invalid.
func (r *Roster) ReplaceAll(now time.Time, entries []Entry, invalid []core.UpstreamID) []Change {
	var changes []Change
	listed := make(map[core.UpstreamID]bool, len(entries))
	for _, id := range invalid {
		listed[id] = true
	}
	for _, e := range entries {
		listed[e.ID] = true
		if c, ok := r.Put(now, e); ok {
			changes = append(changes, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		if listed[id] {
			continue
		}
		if c, ok := r.removeRead(now, id); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// PruneRemoved deletes entries that were removed longer than RemovedRetention ago and
// returns their ids.
func (r *Roster) PruneRemoved(now time.Time) []core.UpstreamID {
	var dropped []core.UpstreamID
	for id, u := range r.byID {
		if !u.RemovedAt.IsZero() && now.Sub(u.RemovedAt) > RemovedRetention {
			delete(r.byID, id)
			delete(r.feed, id)
			r.list = nil
			dropped = append(dropped, id)
		}
	}
	r.replaced = slices.DeleteFunc(r.replaced, func(u Upstream) bool { return now.Sub(u.RemovedAt) > RemovedRetention })
	return dropped
}

// ReplacedAt returns when the entry of another process, of another release, replaced that of an
// upstream's process, and the start of the one whose entry is known now; false if none has within
// RemovedRetention.
func (r *Roster) ReplacedAt(id core.UpstreamID, startedMS int64) (at time.Time, nextStartedMS int64, ok bool) {
	for _, u := range r.replaced {
		if u.ID == id && u.StartedMS == startedMS {
			return u.RemovedAt, r.byID[id].StartedMS, true
		}
	}
	return time.Time{}, 0, false
}

// Releases returns the software releases that upstreams of a pool run, or have run since a
// time that is at most RemovedRetention ago, and the latest start of one of the processes
// in milliseconds since the Unix epoch.
func (r *Roster) Releases(p core.Pool, since time.Time) (releases []string, lastStartMS int64) {
	for _, all := range [][]Upstream{r.All(), r.replaced} {
		for _, u := range all {
			if u.Pool != p || (!u.RemovedAt.IsZero() && u.RemovedAt.Before(since)) {
				continue
			}
			lastStartMS = max(lastStartMS, u.StartedMS)
			if !slices.Contains(releases, u.Release) {
				releases = append(releases, u.Release)
			}
		}
	}
	return releases, lastStartMS
}

// AcceptsWork reports whether an upstream may receive new work: its data centre is in
// service, it is not draining, and its entry is present or may be missing only because
// of the store.
func (r *Roster) AcceptsWork(now time.Time, u Upstream) bool {
	if u.Draining || !r.InService(u.DataCentre) {
		return false
	}
	// An entry that was lost in an earlier outage and didn't return after it is gone.
	return u.RemovedAt.IsZero() || (u.RemovedInOutage > 0 && u.RemovedInOutage == r.outages && r.storeUnreliable(now))
}

// Get returns the upstream with the given id, if it is known.
func (r *Roster) Get(id core.UpstreamID) (Upstream, bool) {
	u, ok := r.byID[id]
	return u, ok
}

// All returns the upstreams sorted by id, including removed ones that are still
// kept. The caller must not modify the slice.
func (r *Roster) All() []Upstream {
	if r.list == nil {
		r.list = slices.SortedFunc(maps.Values(r.byID), func(a, b Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return r.list
}

// IsDraining reports whether an upstream still serves running requests though it is
// leaving. If its entry was removed, that is so for drainTime, unless it was draining
// before; otherwise, if its data centre is out of service, for outTime; otherwise
// while it is draining. Both this and AcceptsWork may be true if the entry was removed
// in an outage of the store.
func (r *Roster) IsDraining(now time.Time, u Upstream, drainTime, outTime time.Duration) bool {
	if !u.RemovedAt.IsZero() {
		return !u.Draining && now.Sub(u.RemovedAt) < drainTime
	}
	if since, isOut := r.outSince[u.DataCentre]; isOut {
		return now.Sub(since) < outTime
	}
	return u.Draining
}

func (r *Roster) store(u Upstream) {
	if r.byID == nil {
		r.byID = map[core.UpstreamID]Upstream{}
	}
	r.byID[u.ID] = u
	r.list = nil
}
