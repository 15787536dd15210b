package lineage

import (
	"time"

	"camphorpulley.org/core"
)

// Record tells at which release a stream has begun, or is about to begin.
type Record struct {
	Stream core.Digest
	Pool   core.Pool
	// Certain reports whether Release is known to be that of the process that got the
	// request. Release doesn't count otherwise.
	Certain bool
	Release string
	// Until is when no caller resumes the stream any more.
	Until time.Time
	// Upstream and StartedMS are the upstream that got the request, and the start of the process of
	// its entry; both are unknown of a stream that another router has begun. Identified is true
	// if the process has stated that it is that one.
	Upstream   core.UpstreamID
	StartedMS  int64
	Identified bool
	// BegunAt is when the stream began.
	BegunAt time.Time
}

// Report returns what the record tells.
func (r Record) Report() Report {
	if !r.Certain {
		return Report{Knowledge: Mixed}
	}
	return Report{Knowledge: Recorded, Release: r.Release}
}

// startMargin is by how much the clock of an upstream's host may be ahead of the router's.
const startMargin = time.Second

// BegunAtReplaced reports whether another process may have begun the stream than the one of the record:
// its entry, which states its start, was read at a time. It may have run for as long as entries usually
// take to arrive, and since its start if they took longer.
func (r Record) BegunAtReplaced(readAt time.Time, startedMS int64) bool {
	if r.Identified {
		return false
	}
	return r.BegunAt.After(readAt.Add(-minDoubtTime)) || r.BegunAt.Add(startMargin).UnixMilli() >= startedMS
}

// maxRecords bounds the records of a router; several times what a router of a large fleet
// begins and keeps for others in a minute.
const maxRecords = 1 << 16

// Records holds the records of the streams that this router has begun, and of those that
// others have begun and for which it is a holder. The zero value holds none.
type Records struct {
	byStream map[core.Digest]Record
	// unsent holds the streams begun here whose holders haven't been told.
	unsent map[core.Digest]bool
}

// Begin records a stream that this router is about to begin. A later record of the stream
// replaces it.
func (r *Records) Begin(now time.Time, record Record) {
	if !r.put(now, record) {
		return
	}
	if r.unsent == nil {
		r.unsent = map[core.Digest]bool{}
	}
	r.unsent[record.Stream] = true
}

// Keep records a stream that another router has begun.
func (r *Records) Keep(now time.Time, record Record) { r.put(now, record) }

// put adds a record. It returns false if that is over or there is no room for it.
func (r *Records) put(now time.Time, record Record) bool {
	if _, known := r.byStream[record.Stream]; !now.Before(record.Until) || (!known && len(r.byStream) >= maxRecords) {
		return false
	}
	if r.byStream == nil {
		r.byStream = map[core.Digest]Record{}
	}
	r.byStream[record.Stream] = record
	return true
}

// Find returns the record of a stream.
func (r *Records) Find(now time.Time, stream core.Digest) (Record, bool) {
	record, ok := r.byStream[stream]
	return record, ok && now.Before(record.Until)
}

// TakeUnsent returns the records of some pools whose holders haven't been told, and counts
// them as told.
func (r *Records) TakeUnsent(pools map[core.Pool]bool) []Record {
	var all []Record
	for stream := range r.unsent {
		if record := r.byStream[stream]; pools[record.Pool] {
			all = append(all, record)
			delete(r.unsent, stream)
		}
	}
	return all
}

// Expire drops the records that are over.
func (r *Records) Expire(now time.Time) {
	for stream, record := range r.byStream {
		if !now.Before(record.Until) {
			delete(r.byStream, stream)
			delete(r.unsent, stream)
		}
	}
}
