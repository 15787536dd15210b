package catalog

import "time"

// A router reads the catalog from the store. One that doesn't reach the store gets it from
// another router that states a newer version than its own. A copy takes time on both links,
// and a version appears at all routers at once, so that copies are bounded at both ends.

const (
	// transferRate is the rate at which a router sends snapshots to others, in bytes per
	// second: less than half of a link of 25 Mbit/s.
	transferRate = 1.5e6
	// transferBacklog is for how long copies that were sent may still occupy the link when
	// one more is sent.
	transferBacklog = 250 * time.Millisecond
	// readGrace is how long a router waits for the store, besides half of the time of a
	// transfer, before it requests a catalog that another router has.
	readGrace = 250 * time.Millisecond
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
	// Newest is the newest version that another router has stated, NewerSince when a router is
	// first known to have applied one newer than the catalog in force.
	Newest     uint64
	NewerSince time.Time
	// RequestedAt is when a catalog was last requested.
	RequestedAt time.Time
	// StoreFails is true if the last read of the store failed.
	StoreFails bool
}

// Wants reports whether a router with a catalog, nil if it has none, wants the version that
// another router states, which a router has applied at a time, as far as is known. A router
// without a catalog, or one whose reads fail, doesn't wait for the store.
func (f *Fetch) Wants(now time.Time, own *Catalog, stated uint64, appliedAt time.Time) bool {
	version, size := own.versionAndSize()
	if stated <= version {
		return false
	}
	if f.Newest <= version || appliedAt.Before(f.NewerSince) {
		f.NewerSince = appliedAt
	}
	f.Newest = max(f.Newest, stated)
	return own == nil || f.StoreFails || now.Sub(f.NewerSince) >= readGrace+transferTime(size)/2
}

// Since returns when a router is first known to have applied a version that is now applied.
func (f *Fetch) Since(now time.Time, version uint64) time.Time {
	if f.Newest != version {
		return now
	}
	return f.NewerSince
}

// Take reports whether a router with a catalog, nil if it has none, may make a request; if so,
// it counts as made. It may not while the last one may still be answered.
func (f *Fetch) Take(now time.Time, own *Catalog) bool {
	_, size := own.versionAndSize()
	if !f.RequestedAt.IsZero() && now.Sub(f.RequestedAt) < replyTime+transferTime(size) {
		return false
	}
	f.RequestedAt = now
	return true
}

// versionAndSize returns the version of a catalog and the size of its text in bytes; zero for
// nil.
func (c *Catalog) versionAndSize() (version uint64, size int) {
	if c == nil {
		return 0, 0
	}
	return c.Version, len(c.Source)
}

// RecordReply records that a reply to a request has come, with a catalog or without.
func (f *Fetch) RecordReply() { f.RequestedAt = time.Time{} }

// Supply decides how often a router sends its catalog, and entries beside it, to others: one
// copy after another, at transferRate. The zero value has sent none.
type Supply struct {
	// FreeAt is when the copies that were sent have passed.
	FreeAt time.Time
}

// Take reports whether a copy of a size in bytes may be sent; if so, it counts as sent.
func (s *Supply) Take(now time.Time, size int) bool {
	if s.FreeAt.Sub(now) >= transferBacklog {
		return false
	}
	if s.FreeAt.Before(now) {
		s.FreeAt = now
	}
	s.FreeAt = s.FreeAt.Add(transferTime(size))
	return true
}
