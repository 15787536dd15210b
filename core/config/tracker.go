package config

import "camphorpulley.org/core"

// Tracker computes the revision in force from the records of the log that it is
// given. All trackers of the same records compute the same revision. The zero value
// has applied no record.
type Tracker struct {
	revision Revision
	// lastOffset is the offset of the last applied record.
	lastOffset core.Offset
	// resumeFrom is the first offset that the log still held when the tracker found
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
func (t *Tracker) InForce() Revision { return t.revision }

// LastOffset returns the offset of the last record that has been applied.
func (t *Tracker) LastOffset() core.Offset { return t.lastOffset }

// AwaitingSnapshot reports whether the tracker has missed records and needs a
// snapshot before it can decide on proposals.
func (t *Tracker) AwaitingSnapshot() bool { return t.resumeFrom != 0 }

// Snapshot returns the revision in force and the offset up to which it holds, for
// other routers. It is empty if no record was applied.
func (t *Tracker) Snapshot() Snapshot {
	return Snapshot{Revision: t.revision, AsOf: t.lastOffset}
}

// LogTrimmed handles the loss of all records before earliest from the log. If one of
// them was not applied, the tracker waits for a snapshot.
func (t *Tracker) LogTrimmed(earliest core.Offset) {
	if t.lastOffset+1 < earliest && t.resumeFrom == 0 {
		t.resumeFrom = earliest
	}
}

// ApplyProposal decides on the proposal at an offset. It returns nil if the
// proposal came into force or was decided before, otherwise a VoidError or a
// GapError.
func (t *Tracker) ApplyProposal(offset core.Offset, p Proposal) error {
	if offset <= t.lastOffset {
		return nil
	}
	if t.resumeFrom != 0 {
		t.pending = append(t.pending, pendingProposal{offset, p})
		return &GapError{Offset: offset}
	}
	return t.decide(offset, p)
}

func (t *Tracker) decide(offset core.Offset, p Proposal) error {
	t.lastOffset = offset
	if p.Base != t.revision.Number {
		return &VoidError{Offset: offset, Base: p.Base, InForce: t.revision.Number}
	}
	t.revision = Revision{Number: offset, Proposal: p}
	return nil
}

// Skip counts the record at an offset, which is no proposal, as applied.
func (t *Tracker) Skip(offset core.Offset) {
	if t.resumeFrom == 0 && offset > t.lastOffset {
		t.lastOffset = offset
	}
}

// ApplySnapshot replaces the revision by a snapshot from the log or from a peer, then
// decides on the pending proposals. It reports whether the revision in force changed.
// It ignores a snapshot that covers no more records than were applied, has an older
// revision, or leaves a gap before the records that the log still holds.
func (t *Tracker) ApplySnapshot(s Snapshot) bool {
	before := t.revision.Number
	if s.AsOf <= t.lastOffset || s.Revision.Number < before {
		return false
	}
	if t.resumeFrom != 0 && s.AsOf+1 < t.resumeFrom {
		// Records between the snapshot and the log would still be missing.
		return false
	}
	t.revision = s.Revision
	t.lastOffset = s.AsOf
	t.resumeFrom = 0
	pending := t.pending
	t.pending = nil
	for _, p := range pending {
		if p.offset > t.lastOffset {
			// A void proposal has no effect.
			_ = t.decide(p.offset, p.proposal)
		}
	}
	return t.revision.Number != before
}
