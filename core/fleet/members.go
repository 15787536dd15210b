package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
)

// Member is a router of the fleet.
type Member struct {
	ID         core.RouterID
	Address    string
	DataCentre core.DataCentre
	// Incarnation names the router's process; zero if it isn't known.
	Incarnation core.Incarnation
}

type member struct {
	Member
	// seen is when the router was listed or heard.
	seen time.Time
	// asked is set once the router was asked what it knows.
	asked bool
	// heard is when its last message came; zero if none has.
	heard time.Time
}

type members struct {
	byID map[core.RouterID]member
	// listed is set once the list of routers was read.
	listed bool
	// teachers is how many routers were asked what they know.
	teachers int
}

const (
	// memberAge is how long a router that isn't heard counts as one that may
	// exist: longer than a cut or a restart, so that two sides of a cut don't
	// each take the whole of what is shared.
	memberAge = 60 * time.Second
	// alone is how long after its start a router that hasn't read the list takes
	// others to exist that it doesn't know.
	alone = 10 * time.Second
)

// Meet takes in that a router exists.
func (f *Fleet) Meet(now time.Time, m Member) {
	if m.ID == f.settings.ID || m.ID == "" {
		return
	}
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		old := p.byID[m.ID]
		p.byID[m.ID] = member{Member: m, seen: now, asked: old.asked, heard: old.heard}
	})
}

// heard takes in that a message of a router has come.
func (f *Fleet) heard(now time.Time, from Member) {
	f.Meet(now, from)
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		if m, ok := p.byID[from.ID]; ok {
			m.heard = now
			p.byID[from.ID] = m
		}
	})
}

// teachers is how many routers a router that has started asks what they know:
// one may have started as late itself.
const teachers = 2

// mayTeach reports whether a router is to be asked what it knows, and counts
// that it is.
func (f *Fleet) mayTeach(id core.RouterID) bool {
	return table.Read(f.members, table.Hold{}, func(p *members) bool {
		m, ok := p.byID[id]
		if !ok || m.asked || p.teachers >= teachers {
			return false
		}
		m.asked = true
		p.byID[id] = m
		p.teachers++
		return true
	})
}

// Listed takes in that the list of routers was read.
func (f *Fleet) Listed() {
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) { p.listed = true })
}

// Members returns the other routers that may exist.
func (f *Fleet) Members(now time.Time) []Member {
	return table.Read(f.members, table.Hold{}, func(p *members) []Member {
		all := make([]Member, 0, len(p.byID))
		for id, m := range p.byID {
			if now.Sub(m.seen) > memberAge {
				delete(p.byID, id)
				continue
			}
			all = append(all, m.Member)
		}
		return all
	})
}

// ids returns the routers that may exist, the own one first.
func (f *Fleet) ids(now time.Time) []core.RouterID {
	ids := []core.RouterID{f.settings.ID}
	for _, m := range f.Members(now) {
		ids = append(ids, m.ID)
	}
	return ids
}

// Member returns one other router.
func (f *Fleet) Member(id core.RouterID) (Member, bool) {
	m := table.Read(f.members, table.Hold{}, func(p *members) member { return p.byID[id] })
	return m.Member, m.ID != ""
}

// routers returns how many routers may exist.
func (f *Fleet) routers(now time.Time) int {
	n, _, _ := f.place(now)
	return n
}

// place returns how many routers may exist, the own place among them, and
// whether the number can be relied on.
func (f *Fleet) place(now time.Time) (n, rank int, settled bool) {
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		settled = p.listed || now.Sub(f.started) > alone
		n = 1
		for id, m := range p.byID {
			if now.Sub(m.seen) > memberAge {
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
