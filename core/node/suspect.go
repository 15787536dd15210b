package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/table"
)

// Suspect takes in that a request was running when a process crashed, or that
// it has since run to its end.
func (n *Node) Suspect(now time.Time, s Suspect) {
	n.suspects.Do(table.Hold{}, func(_ table.Hold, t *poison.Suspects) {
		if s.Clear {
			t.Clear(s.Digest)
			return
		}
		t.RecordCrash(now, s.Digest, s.Process)
	})
}

// Tell returns a message about a suspect to all live routers.
func (n *Node) Tell(now time.Time, s Suspect) Effects {
	var e Effects
	for _, r := range n.view(now).alive {
		if r.ID != n.settings.ID {
			e.send(r.ID, Message{Suspect: &s})
		}
	}
	return e
}

// Suspected reports whether a request was running during a crash, and whether
// it is refused for that.
func (n *Node) Suspected(now time.Time, d core.Digest) (suspected, refused bool) {
	n.suspects.Do(table.Hold{}, func(_ table.Hold, t *poison.Suspects) {
		refused = t.Refused(now, d)
		suspected = t.Suspected(d)
	})
	return suspected, refused
}
