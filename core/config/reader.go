package config

import "camphorpulley.org/core"

// Reader computes the revision in force from the records of the log. All readers
// of the same records compute the same revision. The zero value has read nothing.
type Reader struct {
	revision Revision
	// lastOffset is the offset of the last applied record.
	lastOffset core.Offset
	// resumeFrom is the first offset that the log still held when the reader found
	// that it had missed records; zero means that none was missed.
	resumeFrom core.Offset
	// pending holds the proposals that wait for a snapshot.
	pending []pendingProposal
}

type pendingProposal struct {
	offset   core.Offset
	proposal Proposal
}

// InForce returns the revision in force; its number is zero if there is none.
func (r *Reader) InForce() Revision { return r.revision }

// LastOffset returns the offset of the last record that has been applied.
func (r *Reader) LastOffset() core.Offset { return r.lastOffset }

// AwaitingSnapshot reports whether the reader has missed records and needs a
// snapshot before it can decide on proposals.
func (r *Reader) AwaitingSnapshot() bool { return r.resumeFrom != 0 }

// Snapshot returns the revision in force and the offset up to which it holds, for
// other routers. It is empty if nothing was read.
func (r *Reader) Snapshot() Snapshot {
	return Snapshot{Revision: r.revision, AsOf: r.lastOffset}
}

// LogTrimmed handles that the log holds no record before earliest. If the reader
// has missed records by that, it waits for a snapshot.
func (r *Reader) LogTrimmed(earliest core.Offset) {
	if r.lastOffset+1 < earliest && r.resumeFrom == 0 {
		r.resumeFrom = earliest
	}
}

// ApplyProposal decides on the proposal at an offset. It returns nil if the
// proposal came into force or was decided before, otherwise a VoidError or a
// GapError.
func (r *Reader) ApplyProposal(offset core.Offset, p Proposal) error {
	if offset <= r.lastOffset {
		return nil
	}
	if r.resumeFrom != 0 {
		r.pending = append(r.pending, pendingProposal{offset, p})
		return &GapError{Offset: offset}
	}
	return r.decide(offset, p)
}

func (r *Reader) decide(offset core.Offset, p Proposal) error {
	r.lastOffset = offset
	if p.Base != r.revision.Number {
		return &VoidError{Offset: offset, Base: p.Base, InForce: r.revision.Number}
	}
	r.revision = Revision{Number: offset, Proposal: p}
	return nil
}

// Skip records that the record at an offset is no proposal.
func (r *Reader) Skip(offset core.Offset) {
	if r.resumeFrom == 0 && offset > r.lastOffset {
		r.lastOffset = offset
	}
}

// ApplySnapshot replaces the revision by a snapshot from the log or from a peer,
// then decides on the pending proposals. It reports whether the revision in force
// changed. A snapshot of no more records than were read is ignored.
func (r *Reader) ApplySnapshot(s Snapshot) bool {
	before := r.revision.Number
	if s.AsOf <= r.lastOffset || s.Revision.Number < before {
		return false
	}
	if r.resumeFrom != 0 && s.AsOf+1 < r.resumeFrom {
		// Records between the snapshot and the log would still be missing.
		return false
	}
	r.revision = s.Revision
	r.lastOffset = s.AsOf
	r.resumeFrom = 0
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		if p.offset > r.lastOffset {
			// A void proposal has no effect.
			_ = r.decide(p.offset, p.proposal)
		}
	}
	return r.revision.Number != before
}
