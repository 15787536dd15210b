package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/table"
)

// Propose takes in the proposal at an offset of the log. The error says why it
// is not in force: a *config.VoidError or a *config.GapError.
func (n *Node) Propose(now time.Time, offset core.Offset, p config.Proposal) (Effects, error) {
	var err error
	e := n.revise(func(r *config.Reader) {
		err = r.ApplyProposal(offset, p)
	})
	return e, err
}

// Adopt takes in a snapshot of the configuration.
func (n *Node) Adopt(now time.Time, s config.Snapshot) Effects {
	return n.revise(func(r *config.Reader) {
		r.ApplySnapshot(s)
	})
}

// Trimmed says that the log has no record before an offset.
func (n *Node) Trimmed(earliest core.Offset) {
	n.revise(func(r *config.Reader) {
		r.LogTrimmed(earliest)
	})
}

// Skip says that the record at an offset is no proposal.
func (n *Node) Skip(offset core.Offset) {
	n.revise(func(r *config.Reader) {
		r.Skip(offset)
	})
}

// Configuration returns the result of reading the log, and the fault of the
// revision in force if its sheet can't be read.
func (n *Node) Configuration() (config.Snapshot, bool, error) {
	var s config.Snapshot
	var gap bool
	var err error
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		s = c.reader.Snapshot()
		gap = c.reader.AwaitingSnapshot()
		err = c.fault
	})
	return s, gap, err
}

// revise changes the reader and reads the sheet if another revision has come
// into force.
func (n *Node) revise(change func(*config.Reader)) Effects {
	var e Effects
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		change(&c.reader)
		r := c.reader.InForce()
		if r.Number == c.number {
			return
		}
		c.number = r.Number
		e.InForce = true
		n.changed()
		sheet, err := n.settings.Parse(r.Text)
		c.fault = err
		if err == nil {
			c.sheet = sheet
		}
	})
	return e
}
