package roster

import "time"

// PutUnconfirmed adds or updates an entry that another router has sent. That of a new
// or removed upstream is unconfirmed until it is read from the store, which may no
// longer hold it; one that is confirmed stays so.
func (r *Roster) PutUnconfirmed(now time.Time, e Entry) (Change, bool) {
	unconfirmedSince := now
	if old, known := r.byID[e.ID]; known && old.RemovedAt.IsZero() {
		unconfirmedSince = old.UnconfirmedSince
	}
	change, changed := r.put(now, e, unconfirmedSince)
	if changed {
		r.markAhead(e.ID)
	}
	return change, changed
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
