package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
)

// Envelope is a message to another router.
type Envelope struct {
	To      core.RouterID
	Message Message
}

const (
	// The heartbeat interval is heartbeatIntervalPerRouter times the number of other
	// routers in the data centre, but at least minHeartbeatInterval, so that the number
	// of messages per second that a router sends doesn't grow with the fleet.
	minHeartbeatInterval       = 200 * time.Millisecond
	heartbeatIntervalPerRouter = 20 * time.Millisecond
)

// heartbeatInterval returns the time between two heartbeats, by the number of other
// routers in the data centre.
func heartbeatInterval(neighbours int) time.Duration {
	return max(minHeartbeatInterval, heartbeatIntervalPerRouter*time.Duration(neighbours))
}

// Outgoing returns the periodic messages that the router sends now, and how long it
// waits until it sends the next ones: its heartbeat to the routers of its data centre
// and, if it is the relay there, digests to one router in each other data centre and
// to the local ones.
func (f *Fleet) Outgoing(now time.Time) ([]Envelope, time.Duration) {
	neighbours := f.neighbours(now)
	relay := f.isRelay(now)
	heartbeat := f.NextHeartbeat(now)
	f.digests.Do(table.Hold{}, func(_ table.Hold, d *digests) {
		if relay {
			d.toOthers.add(now, heartbeat, heartbeat.CachedParts)
		} else {
			*d = digests{}
		}
	})
	all := f.addressed(now, neighbours, Message{Heartbeat: &heartbeat})
	if relay {
		own := f.digestToOthers(now)
		all = append(all, f.addressed(now, f.contacts(now), Message{Digest: &own})...)
		if others, ok := f.digestToLocal(now); ok {
			all = append(all, f.addressed(now, neighbours, Message{Digest: &others})...)
		}
	}
	return append(all, f.recordsOfMixedPools(now)...), heartbeatInterval(len(neighbours))
}

// addressed returns a message to each of the routers, stamped with the time.
func (f *Fleet) addressed(now time.Time, to []core.RouterID, m Message) []Envelope {
	m.SentMS = f.uptimeMS(now)
	all := make([]Envelope, 0, len(to))
	for _, id := range to {
		all = append(all, Envelope{To: id, Message: m})
	}
	return all
}

// passOn returns the messages that pass on to the local data centre what a router of
// another one has sent by Spread.
func (f *Fleet) passOn(now time.Time, from Member, m Message) []Envelope {
	if from.DataCentre == f.settings.DataCentre {
		return nil
	}
	return f.addressed(now, f.neighbours(now), m)
}

// Spread returns a message that is to reach all other routers: to those of the data
// centre, and to one in each other data centre, which passes it on.
func (f *Fleet) Spread(now time.Time, m Message) []Envelope {
	return append(f.addressed(now, f.neighbours(now), m), f.addressed(now, f.contacts(now), m)...)
}
