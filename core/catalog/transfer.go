package catalog

import "time"

// A router reads the catalog from the store. One that doesn't reach the store gets it from
// another router that states a newer version than its own. A copy takes time on both links,
// and a version appears at all routers at once, so that copies are bounded at both ends.

const (
	// transferRate is the rate at which a router sends snapshots to others, in bytes per
	// second: less than half of a link of 25 Mbit/s.
	transferRate = 1.5e6
	// readGrace is how long a router waits for the store before it requests a catalog that
	// another router has.
	readGrace = 500 * time.Millisecond
	// replyTime is how long a router waits for a requested catalog, besides its transfer,
	// before it requests it from another router.
	replyTime = 500 * time.Millisecond
)

// transferTime returns how long a number of bytes takes at transferRate.
func transferTime(size int) time.Duration {
	return time.Duration(float64(size) / transferRate * float64(time.Second))
}

// Fetch decides when a router requests catalogs from others: from one at a time. The zero
// value has requested none.
type Fetch struct {
	// Newest is the newest version that another router has stated, NewerSince when one newer
	// than the catalog in force was first stated.
	Newest     uint64
	NewerSince time.Time
	// RequestedAt is when a catalog was last requested.
	RequestedAt time.Time
}

// Due reports whether a router with a catalog, nil if it has none, is to request one from a
// router that states another version; if so, it counts as requested. A router without a
// catalog doesn't wait for the store.
func (f *Fetch) Due(now time.Time, own *Catalog, stated uint64) bool {
	version, size := uint64(0), 0
	if own != nil {
		version, size = own.Version, len(own.Source)
	}
	if stated <= version {
		return false
	}
	if f.Newest <= version {
		f.NewerSince = now
	}
	f.Newest = max(f.Newest, stated)
	if own != nil && now.Sub(f.NewerSince) < readGrace {
		return false
	}
	return f.take(now, size)
}

// DueWithoutUpstreams reports whether a router that knows no upstreams is to request a
// snapshot from one that does; if so, it counts as requested.
func (f *Fetch) DueWithoutUpstreams(now time.Time) bool { return f.take(now, 0) }

// RecordReply records that a reply to a request has come, with a catalog or without.
func (f *Fetch) RecordReply() { f.RequestedAt = time.Time{} }

// take counts a request unless the last one may still be answered.
func (f *Fetch) take(now time.Time, size int) bool {
	if !f.RequestedAt.IsZero() && now.Sub(f.RequestedAt) < replyTime+transferTime(size) {
		return false
	}
	f.RequestedAt = now
	return true
}

// Supply decides how often a router sends its catalog, and entries beside it, to others: one
// copy after another, at transferRate. The zero value has sent none.
type Supply struct {
	// FreeAt is when the last copy has passed.
	FreeAt time.Time
}

// Take reports whether a copy of a size in bytes may be sent; if so, it counts as sent.
func (s *Supply) Take(now time.Time, size int) bool {
	if now.Before(s.FreeAt) {
		return false
	}
	s.FreeAt = now.Add(transferTime(size))
	return true
}
