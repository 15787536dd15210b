package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/table"
)

// UpstreamInfo is an upstream as operators see it.
type UpstreamInfo struct {
	ID         core.UpstreamID
	Pool       core.Pool
	DataCentre core.DataCentre
	Address    string
	Keeper     core.RouterID
	Boot       string
	Open       bool
	Down       bool
	// Limit is what the upstream bears now and Share the own seat's part.
	Limit, Share int
	// Out is the number of permits that the own router has granted, Owed what
	// lapsed loans may still use, and Waiting the length of its queue.
	Out, Owed, Waiting int
}

// Upstreams returns what operators see of all upstreams.
func (n *Node) Upstreams(now time.Time) []UpstreamInfo {
	v := n.view(now)
	all := make([]UpstreamInfo, 0, len(v.Upstreams))
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, u := range v.Upstreams {
			info := UpstreamInfo{
				ID: u.ID, Pool: u.Pool, DataCentre: u.DataCentre, Address: u.Address, Boot: u.State.Boot,
				Open: route.AcceptsWork(now, v.View, u), Down: u.State.Down, Limit: v.bear(u), Share: n.size(v, u),
			}
			if keeper, ok := v.keeperOf(u); ok {
				info.Keeper = keeper.ID
			}
			if book := (*l)[u.ID]; book != nil {
				info.Out = len(book.keeper.Out())
				info.Owed = book.share.Owed(now, info.Share)
				info.Waiting = book.keeper.Waiting()
			}
			all = append(all, info)
		}
	})
	return all
}

// Settled reports whether the router can be a keeper: it has found out what
// earlier processes in this seat may have lent.
func (n *Node) Settled() bool {
	return table.Read(n.peers, table.Hold{}, func(p *peers) bool { return p.settled })
}

// settled finds out whether the own shares are free of what earlier processes
// in this seat may have lent. It is true at the latest when the longest
// request has passed.
func (n *Node) settled(now time.Time) bool {
	if now.Sub(n.started) < n.settings.Lease.Whole() {
		return false
	}
	settled := true
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, book := range *l {
			settled = settled && !book.share.Starting(now)
		}
	})
	return settled
}

// First reports whether the own router is the first by name among the live
// ones. It does what one router of all should do.
func (n *Node) First(now time.Time) bool {
	for _, r := range n.view(now).alive {
		if r.ID < n.settings.ID {
			return false
		}
	}
	return true
}
