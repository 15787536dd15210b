package config

import (
	"fmt"

	"camphorpulley.org/core"
)

// Proposal is a record in the log that proposes a sheet. Its offset in the log
// becomes the number of its revision.
type Proposal struct {
	// Base is the number of the revision that the proposal was made from.
	Base core.Offset
	// Author is the name of the operator.
	Author string
	// Text is the source text of the sheet.
	Text []byte
}

// Revision is a proposal that has come into force.
type Revision struct {
	Number core.Offset
	Proposal
}

// Snapshot is the revision in force after all records of the log up to the offset
// AsOf. It replaces reading these records.
type Snapshot struct {
	Revision Revision
	AsOf     core.Offset
}

// VoidError reports a proposal without effect, because another one came into force
// after its base.
type VoidError struct {
	Offset  core.Offset
	Base    core.Offset
	InForce core.Offset
}

// Error implements error.
func (e *VoidError) Error() string {
	return fmt.Sprintf("proposal %d is void: made from revision %d, but revision %d was in force",
		e.Offset, e.Base, e.InForce)
}

// GapError reports a proposal that can't be decided on yet, because the log no
// longer holds the records before it and no snapshot was received.
type GapError struct {
	Offset core.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("proposal %d waits for a snapshot", e.Offset)
}
