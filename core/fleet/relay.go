package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/table"
)

// Each data centre has a relay, the first of its live routers by rendezvous. It sends
// the others what its routers know, so that a message crosses between two data centres
// once, however many routers there are. Nothing depends on there being only one relay:
// two of them, during a hand-over, send the same twice.

// relayTimeout is how recently a router must have sent a message to count as live: a
// few heartbeats.
const relayTimeout = 2 * time.Second

// relayKey ranks the routers of a data centre.
var relayKey = chat.Key("", "relays", nil)

// centre is what is known of another data centre.
type centre struct {
	// relay is the router that made its last digest, at the time heardAt.
	relay   core.RouterID
	heardAt time.Time
	// since is from when on it has been heard of without a gap.
	since time.Time
}

// live reports whether the router has sent a message recently, or was just listed.
func (m member) live(now time.Time) bool {
	if m.lastSeen.IsZero() {
		return now.Sub(m.refreshedAt) < relayTimeout
	}
	return now.Sub(m.lastSeen) < relayTimeout
}

// Self returns the router itself as a member.
func (f *Fleet) Self() Member {
	s := f.settings
	return Member{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Detour: s.Detour, Incarnation: s.Incarnation, Capacity: s.Capacity}
}

// neighbours returns the other routers in the local data centre.
func (f *Fleet) neighbours(now time.Time) []core.RouterID {
	var all []core.RouterID
	for _, m := range f.Members(now) {
		if m.DataCentre == f.settings.DataCentre {
			all = append(all, m.ID)
		}
	}
	return all
}

// localRank returns how many live routers of the data centre rank before this one.
func (f *Fleet) localRank(now time.Time) int {
	return table.Read(f.members, table.Hold{}, func(t *members) int {
		own, rank := chat.Score(relayKey, string(f.settings.ID)), 0
		for _, m := range t.byID {
			if m.DataCentre == f.settings.DataCentre && m.live(now) && m.score > own {
				rank++
			}
		}
		return rank
	})
}

// isRelay reports whether the router is the relay of its data centre.
func (f *Fleet) isRelay(now time.Time) bool { return f.localRank(now) == 0 }

// contacts returns a router of each other data centre: the one that made its last
// digest; if that is too long ago the first live one by rendezvous, or if there is none
// any of them, another one each relayTimeout.
func (f *Fleet) contacts(now time.Time) []core.RouterID {
	turn := chat.Key("", now.Truncate(relayTimeout).String(), nil)
	return table.Read(f.members, table.Hold{}, func(t *members) []core.RouterID {
		best := map[core.DataCentre]core.RouterID{}
		scores := map[core.DataCentre]uint64{}
		for _, m := range t.byID {
			if m.DataCentre == f.settings.DataCentre {
				continue
			}
			c := t.centres[m.DataCentre]
			// The upper half of the range is for live routers, so that they come first.
			score := chat.Score(turn, string(m.ID)) >> 1
			switch {
			case m.ID == c.relay && now.Sub(c.heardAt) < relayTimeout:
				score = 1<<64 - 1
			case m.live(now):
				score = 1<<63 | m.score>>1
			}
			if score >= scores[m.DataCentre] {
				best[m.DataCentre], scores[m.DataCentre] = m.ID, score
			}
		}
		all := make([]core.RouterID, 0, len(best))
		for _, id := range best {
			all = append(all, id)
		}
		return all
	})
}

// markSources records the data centres whose digest has arrived.
func (f *Fleet) markSources(now time.Time, sources []Source) {
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		for _, s := range sources {
			at := agoMS(now, s.AgeMS)
			if s.DataCentre == f.settings.DataCentre || at.Before(t.centres[s.DataCentre].heardAt) {
				continue
			}
			if t.centres == nil {
				t.centres = map[core.DataCentre]centre{}
			}
			since := t.centres[s.DataCentre].since
			if at.Sub(t.centres[s.DataCentre].heardAt) >= locality.MaxSilence {
				since = at
			}
			t.centres[s.DataCentre] = centre{relay: s.Relay, heardAt: at, since: since}
		}
	})
}

// heardSources returns the other data centres whose digest has arrived within
// relayTimeout.
func (f *Fleet) heardSources(now time.Time) []Source {
	return table.Read(f.members, table.Hold{}, func(t *members) []Source {
		var all []Source
		for dc, c := range t.centres {
			if age := now.Sub(c.heardAt); age < relayTimeout {
				all = append(all, Source{DataCentre: dc, Relay: c.relay, AgeMS: age.Milliseconds()})
			}
		}
		return all
	})
}

// seenMembers returns the routers of the local data centre, or those of the others,
// with the time since each one's last message.
func (f *Fleet) seenMembers(now time.Time, local bool) []SeenMember {
	return table.Read(f.members, table.Hold{}, func(t *members) []SeenMember {
		var all []SeenMember
		for _, m := range t.byID {
			age := now.Sub(m.lastSeen)
			if (m.DataCentre == f.settings.DataCentre) == local && !m.lastSeen.IsZero() && age < memberTTL {
				all = append(all, SeenMember{Member: m.Member, AgeMS: age.Milliseconds()})
			}
		}
		return all
	})
}

// addSeenMembers records routers that another one has seen. It reports whether one of
// them is new.
func (f *Fleet) addSeenMembers(now time.Time, all []SeenMember) bool {
	fresh := false
	f.members.Do(table.Hold{}, func(_ table.Hold, t *members) {
		for _, s := range all {
			at := agoMS(now, s.AgeMS)
			old, known := t.byID[s.Member.ID]
			if s.Member.ID == f.settings.ID || s.Member.ID == "" || now.Sub(at) > memberTTL {
				continue
			}
			fresh = fresh || !known || old.Incarnation != s.Member.Incarnation
			if !known || at.After(old.lastSeen) {
				t.put(s.Member, at, at)
			}
		}
	})
	return fresh
}
