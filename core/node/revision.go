package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/table"
)

// ApplyProposal applies the proposal at an offset of the log. The error is a
// *config.VoidError or a *config.GapError if the proposal is not in force.
func (n *Node) ApplyProposal(now time.Time, offset core.Offset, p config.Proposal) (Effects, error) {
	var err error
	e := n.revise(func(r *config.Tracker) {
		err = r.ApplyProposal(offset, p)
	})
	return e, err
}

// ApplySnapshot applies a snapshot of the configuration.
func (n *Node) ApplySnapshot(now time.Time, s config.Snapshot) Effects {
	return n.revise(func(r *config.Tracker) {
		r.ApplySnapshot(s)
	})
}

// LogTrimmed records that the log has no records before an offset.
func (n *Node) LogTrimmed(earliest core.Offset) {
	n.revise(func(r *config.Tracker) {
		r.LogTrimmed(earliest)
	})
}

// SkipRecord records that the record at an offset is not a proposal.
func (n *Node) SkipRecord(offset core.Offset) {
	n.revise(func(r *config.Tracker) {
		r.Skip(offset)
	})
}

// Configuration returns a snapshot of the configuration, whether the log has a
// gap, and the error with which the sheet in force was parsed, if any.
func (n *Node) Configuration() (config.Snapshot, bool, error) {
	var s config.Snapshot
	var gap bool
	var err error
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		s = c.tracker.Snapshot()
		gap = c.tracker.AwaitingSnapshot()
		err = c.parseError
	})
	return s, gap, err
}

// revise changes the tracker and parses the sheet if another revision has come
// into force. A sheet that cannot be parsed leaves the earlier one in use.
func (n *Node) revise(change func(*config.Tracker)) Effects {
	var e Effects
	n.config.Do(table.Hold{}, func(_ table.Hold, c *configuration) {
		change(&c.tracker)
		r := c.tracker.InForce()
		if r.Number == c.number {
			return
		}
		c.number = r.Number
		e.RevisionApplied = true
		n.invalidateView()
		sheet, err := n.settings.Parse(r.Text)
		c.parseError = err
		if err == nil {
			c.sheet = sheet
		}
	})
	return e
}
