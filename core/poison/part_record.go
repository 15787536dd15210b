package poison

import (
	"maps"
	"time"

	"camphorpulley.org/core"
)

// maxRecordedProcess bounds the names of processes in the store's record.
const maxRecordedProcess = 512

// PartRecord is what the store holds of the refused parts, in case all routers end: the evidence
// that made them refused.
type PartRecord struct {
	// WrittenMS is the writer's time of day when it wrote the record, in Unix milliseconds. The
	// ages in Parts are as of then.
	WrittenMS int64
	Parts     []Evidence
}

// StoredParts is what a router knows of the record. The zero value hasn't read it.
type StoredParts struct {
	read bool
	// known is what the record says, writtenMS when it was written by its writer's clock.
	known     map[core.Digest]recordedPart
	writtenMS int64
}

// recordedPart is how much the record says of a part. If that changes, it is written anew.
type recordedPart struct {
	strikes, probes int
}

// RecordWork is what a router has to do at the store: Read the record, or read it and Write it if
// it still differs.
type RecordWork struct{ Read, Write bool }

// None reports whether there is nothing to do.
func (w RecordWork) None() bool { return !w.Read && !w.Write }

// Work returns what a router has to do. It writes nothing before it has read the record.
func (s *StoredParts) Work(now time.Time, p *Parts) RecordWork {
	return RecordWork{Read: !s.read, Write: s.read && !maps.Equal(s.known, recordedParts(p.refusedEvidence(now)))}
}

// Apply applies the record in the store, of which the zero value says nothing. It returns the
// parts that are refused from now on, or no longer are. A clock that was set back since the record
// was written makes it younger: its parts are refused for partTTL after a start at most, or until
// an answer. One that was set forward makes it older, so that it may be ignored.
func (s *StoredParts) Apply(now time.Time, p *Parts, r PartRecord) []Change {
	elapsed := min(max(now.UnixMilli()-r.WrittenMS, 0), 2*partTTL.Milliseconds())
	var valid []Evidence
	for _, e := range r.Parts[:min(len(r.Parts), maxEvidence)] {
		if e, ok := e.aged(elapsed); ok {
			valid = append(valid, e)
		}
	}
	applied := s.read && r.WrittenMS == s.writtenMS && maps.Equal(s.known, recordedParts(valid))
	s.read, s.known, s.writtenMS = true, recordedParts(valid), r.WrittenMS
	if applied {
		// Its parts must not come back after they were forgotten.
		return nil
	}
	return p.Merge(now, valid)
}

// Next returns the record that is to be written.
func (s *StoredParts) Next(now time.Time, p *Parts) PartRecord {
	return PartRecord{WrittenMS: now.UnixMilli(), Parts: p.refusedEvidence(now)}
}

// MarkWritten notes that a record was written.
func (s *StoredParts) MarkWritten(r PartRecord) {
	s.known, s.writtenMS = recordedParts(r.Parts), r.WrittenMS
}

// Recheck notes that the store may have lost the record, so that it is written again if parts are
// refused.
func (s *StoredParts) Recheck() { s.known = nil }

// refusedEvidence returns what is known of the refused parts.
func (p *Parts) refusedEvidence(now time.Time) []Evidence {
	refused := p.Refused()
	return p.EvidenceOf(now, refused[:min(len(refused), maxEvidence)])
}

// aged returns evidence that is older by a number of milliseconds; false if it is of no use.
func (e Evidence) aged(ms int64) (Evidence, bool) {
	older := func(age int64) int64 { return min(max(age, 0), 2*partTTL.Milliseconds()) + ms }
	e.UsedAgeMS, e.ProbeAgeMS = older(e.UsedAgeMS), older(e.ProbeAgeMS)
	strikes := make([]Strike, 0, len(e.Strikes))
	for _, s := range e.Strikes {
		if len(s.Process) > maxRecordedProcess {
			return e, false
		}
		s.AgeMS = older(s.AgeMS)
		strikes = append(strikes, s)
	}
	e.Strikes = strikes
	return e, len(strikes) > 0 && len(strikes) <= maxStrikes && e.Probes >= 0
}

// recordedParts returns how much evidence says of each part.
func recordedParts(all []Evidence) map[core.Digest]recordedPart {
	parts := map[core.Digest]recordedPart{}
	for _, e := range all {
		r := recordedPart{probes: e.Probes}
		for _, s := range e.Strikes {
			if !s.Cleared {
				r.strikes++
			}
		}
		parts[e.Part] = r
	}
	return parts
}
