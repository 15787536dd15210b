package roster

import (
	"time"

	"camphorpulley.org/core"
)

// ApplyRecord applies a record of the feed: the entry of an upstream, or its removal if e is
// nil. Changed is that of Put and Remove. News reports whether others that follow the feed
// may need the record: it makes a change, or the roster knew of it before the feed said so.
func (r *Roster) ApplyRecord(now time.Time, id core.UpstreamID, e *Entry) (change Change, changed, news bool) {
	ahead := r.byID[id].Ahead
	if e == nil {
		change, changed = r.Remove(now, id)
	} else {
		change, changed = r.Put(now, *e)
	}
	if ahead && (e == nil || !r.byID[id].laterThan(*e)) {
		r.clearAhead(id)
	}
	return change, changed, changed || ahead
}

// laterThan reports whether the entry is that of a later process, or a later one of the same
// process, than e.
func (u Upstream) laterThan(e Entry) bool {
	return u.StartedMS > e.StartedMS || (u.StartedMS == e.StartedMS && u.Sequence > e.Sequence)
}

func (r *Roster) markAhead(id core.UpstreamID) { r.setAhead(id, true) }

func (r *Roster) clearAhead(id core.UpstreamID) { r.setAhead(id, false) }

func (r *Roster) setAhead(id core.UpstreamID, ahead bool) {
	if u, ok := r.byID[id]; ok && u.Ahead != ahead {
		u.Ahead = ahead
		r.store(u)
	}
}
