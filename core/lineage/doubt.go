package lineage

import "time"

const (
	// minDoubtTime is the least time for which the process of an upstream is in doubt:
	// entries that it wrote before may take that long to arrive.
	minDoubtTime = 3 * time.Second
	// provingEntries is the number of entries of a process, after the one that was known,
	// that show that it lives: the first may have been written before.
	provingEntries = 2
)

// Doubt is the suspicion that another process, perhaps of another release, has replaced the
// one that an entry describes, under the same id: a connection couldn't be opened. Entries
// arrive late, or not at all while the store is unavailable. The zero value is no doubt.
type Doubt struct {
	// Since is when it arose, StartedMS and Sequence are those of the entry then.
	Since     time.Time
	StartedMS int64
	Sequence  uint64
}

// Certain reports whether the process of an entry is the one that runs: there is no doubt
// about it, or it has written entries since.
func (d Doubt) Certain(now time.Time, startedMS int64, sequence uint64) bool {
	if d.Since.IsZero() || startedMS != d.StartedMS {
		return true
	}
	return now.Sub(d.Since) >= minDoubtTime && sequence >= d.Sequence+provingEntries
}
