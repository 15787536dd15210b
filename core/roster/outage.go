package roster

import "time"

// SetStoreAvailable notes whether the store answers.
func (r *Roster) SetStoreAvailable(now time.Time, answers bool) {
	switch {
	case answers && r.unavailable:
		r.recoveredAt = now
		r.recoveries++
	case !answers && !r.storeUnreliable(now):
		r.outages++
	}
	if !answers && !r.unavailable {
		r.reachedAt = time.Time{}
	}
	r.unavailable = !answers
}

// SetStoreReached notes whether the store answers other calls than reads of entries. A router that
// reads entries late after an outage may have reached the store long before.
func (r *Roster) SetStoreReached(now time.Time, reached bool) {
	switch {
	case !reached:
		r.reachedAt = time.Time{}
	case r.unavailable && r.reachedAt.IsZero():
		r.reachedAt = now
	}
}

// storeUnreliable reports whether an entry may be missing only because the store
// is unavailable or has recovered less than RecoveryGrace ago.
func (r *Roster) storeUnreliable(now time.Time) bool {
	recoveredAt := r.recoveredAt
	if !r.reachedAt.IsZero() && r.reachedAt.Before(recoveredAt) {
		recoveredAt = r.reachedAt
	}
	return r.unavailable || (!recoveredAt.IsZero() && now.Sub(recoveredAt) < RecoveryGrace)
}
