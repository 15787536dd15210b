package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/table"
)

// UpstreamInfo is the state of an upstream as shown to operators. Its JSON names
// are part of the operators' interface.
type UpstreamInfo struct {
	ID          core.UpstreamID
	Pool        core.Pool
	DataCentre  core.DataCentre
	Address     string
	Coordinator core.RouterID `json:"Keeper"`
	Boot        string
	Open        bool
	Down        bool
	// Limit is the most concurrent requests that the upstream serves at present,
	// and Share the part that this router's seat owns.
	Limit, Share int
	// Outstanding is the number of permits in use that this router has granted,
	// ExpiredOutstanding the units that may be in use on its expired leases, and
	// Waiting the length of its queue.
	Outstanding        int `json:"Out"`
	ExpiredOutstanding int `json:"Owed"`
	Waiting            int
}

// UpstreamInfos returns the state of all upstreams for operators.
func (n *Node) UpstreamInfos(now time.Time) []UpstreamInfo {
	v := n.view(now)
	all := make([]UpstreamInfo, 0, len(v.Upstreams))
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, u := range v.Upstreams {
			info := UpstreamInfo{
				ID: u.ID, Pool: u.Pool, DataCentre: u.DataCentre, Address: u.Address, Boot: u.State.Boot,
				Open: route.AcceptsWork(now, v.View, u), Down: u.State.Down, Limit: v.capacity(u), Share: n.localShare(v, u),
			}
			if coordinator, ok := v.coordinatorOf(u); ok {
				info.Coordinator = coordinator.ID
			}
			if entry := (*t)[u.ID]; entry != nil {
				info.Outstanding = len(entry.coordinator.Outstanding())
				info.ExpiredOutstanding = entry.share.Outstanding(now, info.Share)
				info.Waiting = entry.coordinator.Waiting()
			}
			all = append(all, info)
		}
	})
	return all
}

// CanCoordinate reports whether the router knows what earlier processes in its
// seat may have leased out. Until then it is not chosen as coordinator.
func (n *Node) CanCoordinate() bool {
	return table.Read(n.peers, table.Hold{}, func(p *peers) bool { return p.canCoordinate })
}

// earlierLeasesKnown reports whether it is known for all shares what earlier
// processes in this seat may have leased out. It is true at the latest when a
// lease length and the longest run time of a request have passed since the start.
func (n *Node) earlierLeasesKnown(now time.Time) bool {
	if now.Sub(n.started) < n.settings.LeaseTiming.Duration() {
		return false
	}
	known := true
	n.permits.Do(table.Hold{}, func(_ table.Hold, t *permitTable) {
		for _, entry := range *t {
			known = known && !entry.share.EarlierLeasesUnknown(now)
		}
	})
	return known
}

// IsFirstByID reports whether no other live router has a lower ID. The first
// router does work that only one of them should do.
func (n *Node) IsFirstByID(now time.Time) bool {
	for _, r := range n.view(now).alive {
		if r.ID < n.settings.ID {
			return false
		}
	}
	return true
}
