// Package roster holds the upstreams that discovery names, and decides which
// of them may get work.
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"camphorpulley.org/core"
)

// Roster is the table of upstreams. The zero value has none.
type Roster struct {
	byID map[core.UpstreamID]Upstream
	// out holds the data centres that are out of service, and since when.
	out map[core.DataCentre]time.Time
	// list is replaced, never changed.
	list []Upstream
	// away is set while the store doesn't answer; back is when it last did so
	// again.
	away bool
	back time.Time
}

const (
	// LapseGrace is how long after the store's return an entry that lapsed
	// meanwhile may come back: the platform's page says about two seconds.
	LapseGrace = 2 * time.Second
	// forget is how long removed entries are remembered, so that a late copy of
	// an entry doesn't bring its upstream back.
	forget = time.Minute
)

// Change says what an entry has changed.
type Change struct {
	ID core.UpstreamID
	// What is new, restarted, draining or removed.
	What string
	// Restarted is set if the upstream's process is another one, so that what
	// was known of it no longer holds.
	Restarted bool
}

// Put takes in an entry that the store has shown. It reports a change that
// matters to requests. An older entry of the same process, or one of an earlier
// process, changes nothing.
func (r *Roster) Put(now time.Time, e Entry) (Change, bool) { return r.put(now, e, time.Time{}) }

func (r *Roster) put(now time.Time, e Entry, heard time.Time) (Change, bool) {
	old, known := r.byID[e.ID]
	if known && (e.Born < old.Born || (e.Born == old.Born && e.Sequence < old.Sequence)) {
		return Change{}, false
	}
	shown := heard.IsZero() && !old.Heard.IsZero()
	if known && !old.Gone.IsZero() && !shown && e.Born == old.Born && e.Sequence == old.Sequence {
		return Change{}, false
	}
	u := Upstream{Entry: e, ColdUntil: now.Add(e.ColdLeft), Heard: heard}
	change, changed := Change{ID: e.ID}, true
	switch {
	case !known:
		change.What, change.Restarted = "new", true
	case e.Born != old.Born || e.Address != old.Address:
		change.What, change.Restarted = "restarted", true
	case !old.Gone.IsZero():
		change.What = "returned"
	case shown && old.Gone.IsZero():
		change.What = "confirmed"
	case e.same(old.Entry) && !u.warms(now, old):
		changed = false
	default:
		change.What = "updated"
	}
	if e.Draining && changed {
		change.What = "draining"
	}
	r.store(u)
	return change, changed
}

// Remove takes in that an entry was removed.
func (r *Roster) Remove(now time.Time, id core.UpstreamID) (Change, bool) {
	u, ok := r.byID[id]
	if !ok || !u.Gone.IsZero() {
		return Change{}, false
	}
	u.Gone = now
	u.Lapsed = !u.Draining && r.lapsing(now)
	r.store(u)
	return Change{ID: id, What: "removed"}, true
}

// Replace takes in all entries that the store holds. What it doesn't hold is
// removed.
func (r *Roster) Replace(now time.Time, entries []Entry) []Change {
	var changes []Change
	held := make(map[core.UpstreamID]bool, len(entries))
	for _, e := range entries {
		held[e.ID] = true
		if c, ok := r.Put(now, e); ok {
			changes = append(changes, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		if held[id] {
			continue
		}
		if c, ok := r.Remove(now, id); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Store takes in whether the store answers.
func (r *Roster) Store(now time.Time, answers bool) {
	if answers && r.away {
		r.back = now
	}
	r.away = !answers
}

// lapsing reports whether entries may be missing only since the store was away.
func (r *Roster) lapsing(now time.Time) bool {
	return r.away || (!r.back.IsZero() && now.Sub(r.back) < LapseGrace)
}

// Forget drops entries that were removed long ago, and returns them.
func (r *Roster) Forget(now time.Time) []core.UpstreamID {
	var dropped []core.UpstreamID
	for id, u := range r.byID {
		if !u.Gone.IsZero() && now.Sub(u.Gone) > forget {
			delete(r.byID, id)
			r.list = nil
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Out takes data centres out of service; all others are in.
func (r *Roster) Out(now time.Time, centres map[core.DataCentre]bool) {
	out := make(map[core.DataCentre]time.Time, len(centres))
	for dc := range centres {
		out[dc] = now
		if since, already := r.out[dc]; already {
			out[dc] = since
		}
	}
	r.out = out
}

// Open reports whether an upstream may get new work.
func (r *Roster) Open(now time.Time, u Upstream) bool {
	if u.Draining || !r.In(u.DataCentre) {
		return false
	}
	return u.Gone.IsZero() || (u.Lapsed && r.lapsing(now))
}

// Get returns one upstream.
func (r *Roster) Get(id core.UpstreamID) (Upstream, bool) {
	u, ok := r.byID[id]
	return u, ok
}

// All returns the upstreams in the order of their ids. The caller doesn't
// change what it gets.
func (r *Roster) All() []Upstream {
	if r.list == nil {
		r.list = slices.SortedFunc(maps.Values(r.byID), func(a, b Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return r.list
}

// In reports whether a data centre is in service.
func (r *Roster) In(dc core.DataCentre) bool {
	_, out := r.out[dc]
	return !out
}

// Leaving reports whether an upstream gets no new work but still serves: it is
// draining, its entry was removed without notice less than drain ago, or its
// data centre went out of service less than out ago.
func (r *Roster) Leaving(now time.Time, u Upstream, drain, out time.Duration) bool {
	if !u.Gone.IsZero() {
		return !u.Draining && now.Sub(u.Gone) < drain
	}
	if since, isOut := r.out[u.DataCentre]; isOut {
		return now.Sub(since) < out
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
