package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/table"
)

// RecordSuspect records that a request was running when an upstream's process
// crashed or that it has since completed.
func (n *Node) RecordSuspect(now time.Time, s SuspectUpdate) {
	n.suspects.Do(table.Hold{}, func(_ table.Hold, t *poison.Suspects) {
		if s.Clear {
			t.Clear(s.Digest)
			return
		}
		t.RecordCrash(now, s.Digest, s.Process)
	})
}

// BroadcastSuspect returns the messages that send an update to all live routers.
func (n *Node) BroadcastSuspect(now time.Time, s SuspectUpdate) Effects {
	var e Effects
	for _, r := range n.view(now).alive {
		if r.ID != n.settings.ID {
			e.send(r.ID, Message{Suspect: &s})
		}
	}
	return e
}

// SuspectStatus reports whether a request was running during a crash, and whether
// it is refused for that.
func (n *Node) SuspectStatus(now time.Time, d core.Digest) (suspected, refused bool) {
	n.suspects.Do(table.Hold{}, func(_ table.Hold, t *poison.Suspects) {
		refused = t.Refused(now, d)
		suspected = t.Suspected(d)
	})
	return suspected, refused
}
