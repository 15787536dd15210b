package roster

import (
	"time"

	"camphorpulley.org/core"
)

// FeedState is what the feed alone has said of an upstream, which all routers that follow the
// feed know. The roster may know more, from copies by other routers that are ahead of it.
type FeedState struct {
	// Last is the newest entry that the feed has shown; zero if it has shown none.
	Last Entry
	// ColdUntil is when the upstream finishes warming up by that entry.
	ColdUntil time.Time
	// RemovedAt is when the feed said that the entry is gone; zero if it is there.
	RemovedAt time.Time
	// SeenSince is the number of the store's last recovery since which the entry was written;
	// zero if that isn't known of any.
	SeenSince int
}

// ignores reports whether an entry that the feed shows next says nothing new: a later one of the
// process is known from the feed, or this one or a later one was removed. The store may carry
// out a write seconds after its writer has given it up.
func (s FeedState) ignores(e Entry) bool {
	if s.Last.ID == "" {
		return false
	}
	return s.Last.laterThan(e) || (!s.RemovedAt.IsZero() && !e.laterThan(s.Last))
}

// isNews reports whether an entry that the feed shows next matters to others that follow it.
func (s FeedState) isNews(now time.Time, e Entry) bool {
	switch {
	case s.ignores(e):
		return false
	case s.Last.ID == "", !s.RemovedAt.IsZero(), e.Release != s.Last.Release, !e.equivalent(s.Last):
		return true
	}
	return Upstream{ColdUntil: now.Add(e.ColdRemaining)}.coldUntilChanged(now, Upstream{ColdUntil: s.ColdUntil})
}

// ApplyRecord applies a record of the feed: the entry of an upstream, or its removal if e is
// nil. Changed is that of Put and Remove. News reports whether others that follow the feed
// may need the record: it makes a change, or differs from what the feed said before, though
// the roster may have known of it.
func (r *Roster) ApplyRecord(now time.Time, id core.UpstreamID, e *Entry) (change Change, changed, news bool) {
	state := r.feed[id]
	if e != nil {
		change, changed = r.Put(now, *e)
		return change, changed, changed || state.isNews(now, *e)
	}
	_, known := r.byID[id]
	change, changed = r.removeRead(now, id)
	return change, changed, changed || (known && state.RemovedAt.IsZero())
}

// recordEntry records that the feed shows an entry. It was written since the store's recovery if
// that isn't what was read upon the recovery, or if its removal was read before.
func (r *Roster) recordEntry(now time.Time, e Entry) {
	state := r.feed[e.ID]
	if now.After(r.recoveredAt) || (!state.RemovedAt.IsZero() && !state.RemovedAt.Before(r.recoveredAt)) {
		state.SeenSince = r.recoveries
	}
	if r.feed == nil {
		r.feed = map[core.UpstreamID]FeedState{}
	}
	r.feed[e.ID] = FeedState{Last: e, ColdUntil: now.Add(e.ColdRemaining), SeenSince: state.SeenSince}
}

// seenSinceRecovery reports whether the feed has shown an entry of the upstream that was written
// since the store's recovery.
func (r *Roster) seenSinceRecovery(id core.UpstreamID) bool {
	return !r.unavailable && r.recoveries > 0 && r.feed[id].SeenSince == r.recoveries
}

// removeRead applies that a read of the store shows the removal of an upstream's entry. It also
// ends the use of one that a copy said to be gone in the outage, if the store has shown since
// that it came back.
func (r *Roster) removeRead(now time.Time, id core.UpstreamID) (Change, bool) {
	change, changed := r.Remove(now, id)
	if u := r.byID[id]; !changed && u.RemovedInOutage > 0 && r.feed[id].RemovedAt.IsZero() && r.seenSinceRecovery(id) {
		u.RemovedInOutage = 0
		r.store(u)
		change, changed = Change{ID: id, Kind: "removed", Release: u.Release}, true
	}
	r.recordRemoval(now, id)
	return change, changed
}

// recordRemoval records that the feed shows the removal of an upstream's entry.
func (r *Roster) recordRemoval(now time.Time, id core.UpstreamID) {
	state := r.feed[id]
	if _, known := r.byID[id]; !known || !state.RemovedAt.IsZero() {
		return
	}
	if r.feed == nil {
		r.feed = map[core.UpstreamID]FeedState{}
	}
	state.RemovedAt = now
	r.feed[id] = state
}

// LastRemoved returns the newest entry of a removed upstream that is sure to be gone, and
// false if none is. A removal in the feed states no sequence: that of an entry which the feed
// has not shown yet may be there again.
func (r *Roster) LastRemoved(u Upstream) (Entry, bool) {
	if u.RemovedAhead {
		return u.Entry, true
	}
	state := r.feed[u.ID]
	return state.Last, state.Last.ID != "" && !state.RemovedAt.IsZero()
}
