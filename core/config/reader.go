package config

import "camphorpulley.org/core"

// Reader folds the log into the revision in force. Every reader of the same
// records comes to the same result. The zero value has read nothing.
type Reader struct {
	revision Revision
	read     core.Offset
	// from is the first offset that the log still had, if records before it
	// were missed; zero means that none was.
	from    core.Offset
	pending []entry
}

type entry struct {
	offset   core.Offset
	proposal Proposal
}

// InForce returns the revision in force; its number is zero if there is none.
func (r *Reader) InForce() Revision { return r.revision }

// Read returns the offset up to which the result is certain.
func (r *Reader) Read() core.Offset { return r.read }

// Gap reports whether the reader waits for a snapshot.
func (r *Reader) Gap() bool { return r.from != 0 }

// Snapshot returns the result for others. It is empty if there is none.
func (r *Reader) Snapshot() Snapshot {
	return Snapshot{Revision: r.revision, AsOf: r.read}
}

// Trimmed says that the log keeps no record before earliest.
func (r *Reader) Trimmed(earliest core.Offset) {
	if r.read+1 < earliest && r.from == 0 {
		r.from = earliest
	}
}

// Propose decides on the proposal at an offset. The error is nil if it came
// into force or was decided before, else a VoidError or a GapError.
func (r *Reader) Propose(offset core.Offset, p Proposal) error {
	if offset <= r.read {
		return nil
	}
	if r.from != 0 {
		r.pending = append(r.pending, entry{offset, p})
		return &GapError{Offset: offset}
	}
	return r.decide(offset, p)
}

func (r *Reader) decide(offset core.Offset, p Proposal) error {
	r.read = offset
	if p.Base != r.revision.Number {
		return &VoidError{Offset: offset, Base: p.Base, InForce: r.revision.Number}
	}
	r.revision = Revision{Number: offset, Proposal: p}
	return nil
}

// Skip says that the record at an offset is no proposal.
func (r *Reader) Skip(offset core.Offset) {
	if r.from == 0 && offset > r.read {
		r.read = offset
	}
}

// Adopt takes over a snapshot from the log or from a peer. It reports whether
// the revision in force changed. A snapshot of less than was read is ignored.
func (r *Reader) Adopt(s Snapshot) bool {
	before := r.revision.Number
	if s.AsOf <= r.read || s.Revision.Number < before {
		return false
	}
	if r.from != 0 && s.AsOf+1 < r.from {
		// The snapshot doesn't reach the records that the log still has.
		return false
	}
	r.revision = s.Revision
	r.read = s.AsOf
	r.from = 0
	pending := r.pending
	r.pending = nil
	for _, e := range pending {
		if e.offset > r.read {
			// A void proposal stays without effect.
			_ = r.decide(e.offset, e.proposal)
		}
	}
	return r.revision.Number != before
}
