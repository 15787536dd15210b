package roster

import "time"

// PutUnconfirmed adds or updates an entry that another router has sent. That of a new
// or removed upstream is unconfirmed until it is read from the store, which may no
// longer hold it; one that is confirmed stays so. An earlier entry, or one that repeats a
// removed one, is ignored.
func (r *Roster) PutUnconfirmed(now time.Time, e Entry) (Change, bool) {
	old, known := r.byID[e.ID]
	removed := !old.RemovedAt.IsZero()
	if known && (old.laterThan(e) || (removed && !e.laterThan(old.Entry))) {
		return Change{}, false
	}
	unconfirmedSince := now
	if known && !removed {
		unconfirmedSince = old.UnconfirmedSince
	}
	return r.put(now, e, unconfirmedSince)
}

// RemoveUnconfirmed removes the entries that were received from other routers
// before a read of the store started and that the store hasn't shown since. It
// is called when the read has been applied.
func (r *Roster) RemoveUnconfirmed(now, readStart time.Time) []Change {
	var changes []Change
	for _, u := range r.All() {
		if u.UnconfirmedSince.IsZero() || !u.UnconfirmedSince.Before(readStart) {
			continue
		}
		if c, ok := r.Remove(now, u.ID); ok {
			changes = append(changes, c)
		}
	}
	return changes
}
