package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/table"
)

// Member identifies a router of the fleet.
type Member struct {
	ID         core.RouterID
	Address    string
	DataCentre core.DataCentre
	// Detour is the address on which the router takes requests that others can't send to
	// upstreams; empty if it takes none.
	Detour string
	// Incarnation identifies the router's process; zero if unknown.
	Incarnation core.Incarnation
	// Capacity is the processor time that the router may use, in hundredths of a core; zero if
	// unknown.
	Capacity int
}

// member is what this router knows of another one.
type member struct {
	Member
	// refreshedAt is when the router was last listed or sent a message.
	refreshedAt time.Time
	// snapshotRequested is true once the router was asked for a snapshot with cache
	// contents.
	snapshotRequested bool
	// lastSeen is the time of its last message, to this router or to one that has sent
	// a digest; zero if there was none.
	lastSeen time.Time
	// score is the rendezvous score for relayKey.
	score uint64
	// transit holds what is known of the delays of its messages.
	transit transit
	// silentUntil is until when the router isn't asked for quota, since it didn't respond.
	silentUntil time.Time
	// helping is how the router has fared as a helper.
	helping health.Record
	// cutOff holds the pools that it can't reach, as of its last heartbeat.
	cutOff []core.Pool
	// contactAt is when it has last sent this router a message or a request, askedAt when this
	// router has last asked it whether it lives.
	contactAt, askedAt time.Time
}

// members is the table of the other routers.
type members struct {
	byID    map[core.RouterID]member
	centres map[core.DataCentre]centre
	// listed is true once the list of routers was read.
	listed bool
	// snapshotRequests counts the routers with snapshotRequested.
	snapshotRequests int
	// delays are those of their messages.
	delays delays
}

const (
	// memberTTL is how long a router is assumed to exist after it was last listed or
	// sent a message: longer than a partition or a restart, so that two sides of a
	// partition don't each use the whole of the shared limits.
	memberTTL = 60 * time.Second
	// listGrace is how long after its start a router that hasn't read the list of
	// routers assumes that there are others that it doesn't know.
	listGrace = 10 * time.Second
)

// AddMember records that a router exists, or that it still does.
func (f *Fleet) AddMember(now time.Time, m Member) {
	if m.ID == f.settings.ID || m.ID == "" {
		return
	}
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) { t.put(m, now, t.byID[m.ID].lastSeen) })
}

// put records a router that was listed or sent a message at a time.
func (t *members) put(m Member, refreshedAt, lastSeen time.Time) {
	old, known := t.byID[m.ID]
	if !known {
		old.score = chat.Score(relayKey, string(m.ID))
	}
	if refreshedAt.Before(old.refreshedAt) {
		refreshedAt = old.refreshedAt
	}
	if old.Incarnation != m.Incarnation {
		old.transit, old.silentUntil, old.helping, old.cutOff = transit{}, time.Time{}, health.Record{}, nil
	}
	t.byID[m.ID] = member{Member: m, refreshedAt: refreshedAt, snapshotRequested: old.snapshotRequested, lastSeen: lastSeen, score: old.score, transit: old.transit, silentUntil: old.silentUntil, helping: old.helping, cutOff: old.cutOff, contactAt: old.contactAt, askedAt: old.askedAt}
}

// markMemberSeen records that a message from a router has arrived.
func (f *Fleet) markMemberSeen(now time.Time, from Member) {
	f.AddMember(now, from)
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		if m, ok := t.byID[from.ID]; ok {
			m.lastSeen, m.contactAt = now, now
			t.byID[from.ID] = m
		}
	})
}

// maxSnapshotRequests is how many routers a router that has started asks for a
// snapshot with cache contents: one of them may have just started itself.
const maxSnapshotRequests = 2

// takeSnapshotRequest reports whether a router is to be asked for a snapshot with
// cache contents, and counts the request.
func (f *Fleet) takeSnapshotRequest(id core.RouterID) bool {
	return table.Read(f.members, table.Hold{}, func(t *members) bool {
		m, ok := t.byID[id]
		if !ok || m.snapshotRequested || t.snapshotRequests >= maxSnapshotRequests {
			return false
		}
		m.snapshotRequested = true
		t.byID[id] = m
		t.snapshotRequests++
		return true
	})
}

// MarkMembersListed records that the list of routers was read.
func (f *Fleet) MarkMembersListed() {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) { t.listed = true })
}

// Members returns the other routers that are assumed to exist, and drops those for
// which memberTTL is over.
func (f *Fleet) Members(now time.Time) []Member {
	return table.Read(f.members, table.Hold{}, func(t *members) []Member {
		all := make([]Member, 0, len(t.byID))
		for id, m := range t.byID {
			if now.Sub(m.refreshedAt) > memberTTL {
				delete(t.byID, id)
				continue
			}
			all = append(all, m.Member)
		}
		return all
	})
}

// routerIDs returns the ids of the routers that are assumed to exist, its own first.
func (f *Fleet) routerIDs(now time.Time) []core.RouterID {
	ids := []core.RouterID{f.settings.ID}
	for _, m := range f.Members(now) {
		ids = append(ids, m.ID)
	}
	return ids
}

// Member returns another router by its id, and whether it is known.
func (f *Fleet) Member(id core.RouterID) (Member, bool) {
	m := table.Read(f.members, table.Hold{}, func(t *members) member { return t.byID[id] })
	return m.Member, m.ID != ""
}

// membership returns the number of routers that are assumed to exist, this router's
// rank among them by id, and whether the number can be relied on: the list of
// routers was read, or listGrace is over.
func (f *Fleet) membership(now time.Time) (n, rank int, settled bool) {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		settled = t.listed || now.Sub(f.started) > listGrace
		n = 1
		for id, m := range t.byID {
			if now.Sub(m.refreshedAt) > memberTTL {
				continue
			}
			n++
			if id < f.settings.ID {
				rank++
			}
		}
	})
	return n, rank, settled
}
