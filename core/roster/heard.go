package roster

import "time"

// Hear takes in an entry that another router has told. Until the store shows it
// as well it may be one that the store no longer has.
func (r *Roster) Hear(now time.Time, e Entry) (Change, bool) {
	heard := now
	if old, known := r.byID[e.ID]; known && old.Gone.IsZero() {
		heard = old.Heard
	}
	return r.put(now, e, heard)
}

// Confirm takes in that the store was read from a time on: an entry that was
// heard before and that the store hasn't shown since is gone.
func (r *Roster) Confirm(now, began time.Time) []Change {
	var changes []Change
	for _, u := range r.All() {
		if u.Heard.IsZero() || !u.Heard.Before(began) {
			continue
		}
		if c, ok := r.Remove(now, u.ID); ok {
			changes = append(changes, c)
		}
	}
	return changes
}
