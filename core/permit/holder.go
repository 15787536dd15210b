package permit

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Held is a permit as its holder knows it.
type Held struct {
	Permit
	Keeper Borrower
	Pool   core.Pool
	// Stamp is the holder's last time that the keeper had seen when it
	// granted the permit. It is earlier than the grant.
	Stamp time.Time
}

// Usable reports whether a request may still be sent on the permit. It is
// asked just before the send, since a paused process wakes late.
func (h Held) Usable(now time.Time, l Lease) bool {
	return now.Sub(h.Stamp) < l.Use()
}

// Holdings are the permits that a router holds. The zero value holds none.
type Holdings struct {
	held []Held
	seen map[source]uint64
}

type source struct {
	keeper   Borrower
	upstream core.UpstreamID
}

// Take adds a granted permit. It reports false for one that was seen before
// or was overtaken, which must not be used.
func (h *Holdings) Take(p Held) bool {
	if h.seen == nil {
		h.seen = map[source]uint64{}
	}
	from := source{p.Keeper, p.Upstream}
	if p.Seq <= h.seen[from] {
		return false
	}
	h.seen[from] = p.Seq
	h.held = append(h.held, p)
	return true
}

// Forget drops the sequence numbers of all other incarnations of a keeper.
// Permits that they granted stay held.
func (h *Holdings) Forget(keeper Borrower) {
	for from := range h.seen {
		if from.keeper.Keeper == keeper.Keeper && from.keeper != keeper {
			delete(h.seen, from)
		}
	}
}

// Drop ends a permit.
func (h *Holdings) Drop(p Held) {
	h.held = slices.DeleteFunc(h.held, func(q Held) bool {
		return q.Keeper == p.Keeper && q.Upstream == p.Upstream && q.Seq == p.Seq
	})
}

// Count returns the number of permits for which match reports true.
func (h *Holdings) Count(match func(Held) bool) int {
	n := 0
	for _, p := range h.held {
		if match(p) {
			n++
		}
	}
	return n
}

// ByUpstream counts the permits at each upstream.
func (h *Holdings) ByUpstream() map[core.UpstreamID]int {
	counts := make(map[core.UpstreamID]int, len(h.held))
	for _, p := range h.held {
		counts[p.Upstream]++
	}
	return counts
}

// Statement is what a holder says to a keeper about one upstream.
type Statement struct {
	Upstream core.UpstreamID
	Seen     uint64
	Held     []uint64
}

// State returns the statements for a keeper, in order of the upstreams.
func (h *Holdings) State(keeper Borrower) []Statement {
	var all []Statement
	for from, seen := range h.seen {
		if from.keeper != keeper {
			continue
		}
		s := Statement{Upstream: from.upstream, Seen: seen}
		for _, p := range h.held {
			if p.Keeper == keeper && p.Upstream == from.upstream {
				s.Held = append(s.Held, p.Seq)
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Statement) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// Claim says how many permits on one loan of an owner are held.
type Claim struct {
	Upstream core.UpstreamID
	Epoch    uint64
	Count    int
}

// Claims returns what is held on the units of one seat, of the upstreams for
// which local reports true.
func (h *Holdings) Claims(owner core.Seat, local func(core.UpstreamID) bool) []Claim {
	var all []Claim
	for _, p := range h.held {
		if p.Owner != owner || !local(p.Upstream) {
			continue
		}
		i := slices.IndexFunc(all, func(c Claim) bool { return c.Upstream == p.Upstream && c.Epoch == p.Epoch })
		if i < 0 {
			all = append(all, Claim{Upstream: p.Upstream, Epoch: p.Epoch})
			i = len(all) - 1
		}
		all[i].Count++
	}
	return all
}
