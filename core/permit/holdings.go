package permit

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Held is a permit as its holder records it.
type Held struct {
	Permit
	Coordinator CoordinatorID
	Pool        core.Pool
	// StampedAt is the time of the holder's last stamp that the coordinator had
	// received when it granted the permit. It is no later than the grant.
	StampedAt time.Time
}

// Usable reports whether a request may still be sent on the permit. Callers
// check it just before sending, since a process may have been paused after it
// received the permit.
func (h Held) Usable(now time.Time, l LeaseTiming) bool {
	return now.Sub(h.StampedAt) < l.UseWindow()
}

// Holdings is the set of permits that a router holds. The zero value is empty.
type Holdings struct {
	held    []Held
	lastSeq map[grantSource]uint64
}

type grantSource struct {
	coordinator CoordinatorID
	upstream    core.UpstreamID
}

// Add records a granted permit. It returns false, and the permit must not be
// used, if its sequence number is not above the last one received from the same
// coordinator for the upstream: a duplicate, or overtaken by a later grant.
func (h *Holdings) Add(p Held) bool {
	if h.lastSeq == nil {
		h.lastSeq = map[grantSource]uint64{}
	}
	from := grantSource{p.Coordinator, p.Upstream}
	if p.Seq <= h.lastSeq[from] {
		return false
	}
	h.lastSeq[from] = p.Seq
	h.held = append(h.held, p)
	return true
}

// ForgetOtherIncarnations drops the sequence numbers of all other incarnations
// of a coordinator. The permits that they granted stay held.
func (h *Holdings) ForgetOtherIncarnations(coordinator CoordinatorID) {
	for from := range h.lastSeq {
		if from.coordinator.Router == coordinator.Router && from.coordinator != coordinator {
			delete(h.lastSeq, from)
		}
	}
}

// Remove ends a permit.
func (h *Holdings) Remove(p Held) {
	h.held = slices.DeleteFunc(h.held, func(q Held) bool {
		return q.Coordinator == p.Coordinator && q.Upstream == p.Upstream && q.Seq == p.Seq
	})
}

// Count returns the number of permits for which match returns true.
func (h *Holdings) Count(match func(Held) bool) int {
	n := 0
	for _, p := range h.held {
		if match(p) {
			n++
		}
	}
	return n
}

// CountByUpstream returns the number of permits at each upstream.
func (h *Holdings) CountByUpstream() map[core.UpstreamID]int {
	counts := make(map[core.UpstreamID]int, len(h.held))
	for _, p := range h.held {
		counts[p.Upstream]++
	}
	return counts
}

// HolderReport lists the sequence numbers of the permits of one upstream that a
// router holds from one coordinator, and the last one that it received.
type HolderReport struct {
	Upstream core.UpstreamID
	LastSeq  uint64
	Held     []uint64
}

// Reports returns the reports for a coordinator, sorted by upstream.
func (h *Holdings) Reports(coordinator CoordinatorID) []HolderReport {
	var all []HolderReport
	for from, lastSeq := range h.lastSeq {
		if from.coordinator != coordinator {
			continue
		}
		s := HolderReport{Upstream: from.upstream, LastSeq: lastSeq}
		for _, p := range h.held {
			if p.Coordinator == coordinator && p.Upstream == from.upstream {
				s.Held = append(s.Held, p.Seq)
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b HolderReport) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// Claim is the number of permits that a router holds on one lease of an owner.
type Claim struct {
	Upstream core.UpstreamID
	Epoch    uint64
	Count    int
}

// Claims returns the permits held on the units of one seat, counted by upstream
// and lease epoch, for the upstreams for which include returns true.
func (h *Holdings) Claims(owner core.Seat, include func(core.UpstreamID) bool) []Claim {
	var all []Claim
	for _, p := range h.held {
		if p.Owner != owner || !include(p.Upstream) {
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
