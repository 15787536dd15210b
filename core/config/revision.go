package config

import (
	"fmt"

	"camphorpulley.org/core"
)

// Proposal is a record in the log that proposes a sheet. The offset that it is
// given is its number.
type Proposal struct {
	// Base is the number of the revision that this one was made from.
	Base core.Offset
	// Author names the operator.
	Author string
	// Text is the sheet as written.
	Text []byte
}

// Revision is a proposal that has come into force.
type Revision struct {
	Number core.Offset
	Proposal
}

// Snapshot says which revision was in force once the log had been read up to
// an offset. It stands for all records up to there.
type Snapshot struct {
	Revision Revision
	AsOf     core.Offset
}

// VoidError reports a proposal that another one forestalled.
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

// GapError reports a proposal on which nothing can be decided yet, because
// the log no longer has the records before it and no snapshot has come.
type GapError struct {
	Offset core.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("proposal %d waits for a snapshot", e.Offset)
}
