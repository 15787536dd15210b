package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/table"
)

// A router whose configuration is older than that of others gets it from one of them at a
// time: copies from all at once would fill its link, and a new revision is older at every
// router that is just reading it from the log.

const (
	// copyStep is the time between the copies that two routers would send, one after the
	// other in the order of their rendezvous scores, while the receiver stays behind.
	// Routers from rank maxCopyRank on send together.
	copyStep    = 500 * time.Millisecond
	maxCopyRank = 4
	// copyInterval is the shortest time between two copies from one router to another.
	copyInterval = time.Second
)

// lag is how long another router has had an older configuration than this one, and when this
// one last sent it a copy. The zero value is one that has the same or a newer configuration.
type lag struct {
	since, copiedAt time.Time
}

// configurationFor returns the configuration in force if it is to be sent to a router that
// has an older revision; else nil.
func (n *Node) configurationFor(now time.Time, to core.RouterID, revision core.Offset) *config.Snapshot {
	snapshot := table.Read(n.config, table.Hold{}, func(c *configuration) config.Snapshot { return c.tracker.Snapshot() })
	due := table.Read(n.peers, table.Hold{}, func(p *peers) bool {
		l := p.links[to]
		defer func() { p.links[to] = l }()
		if snapshot.Revision.Number <= revision {
			l.lag = lag{}
			return false
		}
		if l.lag.since.IsZero() {
			l.lag.since = now
		}
		wait := time.Duration(min(n.copyRank(now, p, to, snapshot.Revision.Number), maxCopyRank)) * copyStep
		if now.Sub(l.lag.since) < wait || now.Sub(l.lag.copiedAt) < copyInterval {
			return false
		}
		l.lag.copiedAt = now
		return true
	})
	if !due {
		return nil
	}
	return &snapshot
}

// copyRank returns how many live routers of this data centre that have a revision come before
// this one in sending it to another router.
func (n *Node) copyRank(now time.Time, p *peers, to core.RouterID, revision core.Offset) int {
	key := chat.Key("", string(to), nil)
	own, rank := chat.Score(key, string(n.settings.ID)), 0
	for _, r := range p.members.All() {
		if r.ID == n.settings.ID || r.ID == to || r.DataCentre != n.settings.DataCentre || r.Revision < revision {
			continue
		}
		if r.Alive(now, n.settings.LeaseTiming.FailureTimeout()) && chat.Score(key, string(r.ID)) > own {
			rank++
		}
	}
	return rank
}
