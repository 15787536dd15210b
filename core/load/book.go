// Package load estimates how many requests upstreams hold.
package load

import (
	"time"

	"camphorpulley.org/core"
)

// Report is what an upstream said of its load in an answer.
type Report struct {
	Running, Waiting, Slots int
}

// Book is what one router knows of an upstream's load. The zero value is an
// upstream with none.
type Book struct {
	// Own is the number of the router's own requests.
	Own   int
	peers map[core.RouterID]told
	// reported is the load that others put on the upstream by its last report.
	reported int
	at       time.Time
}

type told struct {
	running int
	at      time.Time
}

const (
	// reportAge is how long an upstream's own report goes before the sum of
	// what routers tell: it is at least as fresh as their beats.
	reportAge = 300 * time.Millisecond
	// toldAge is how long what a router told is believed.
	toldAge = 5 * time.Second
)

// Report takes in an upstream's report.
func (b *Book) Report(now time.Time, r Report) {
	b.reported = max(r.Running+r.Waiting-b.Own, 0)
	b.at = now
}

// Hear takes in how many requests another router has at the upstream.
func (b *Book) Hear(now time.Time, from core.RouterID, running int) {
	if b.peers == nil {
		b.peers = map[core.RouterID]told{}
	}
	if running == 0 {
		delete(b.peers, from)
		return
	}
	b.peers[from] = told{running: running, at: now}
}

// Total estimates how many requests the upstream holds.
func (b *Book) Total(now time.Time) int {
	if !b.at.IsZero() && now.Sub(b.at) < reportAge {
		return b.Own + b.reported
	}
	total := b.Own
	for _, t := range b.peers {
		if now.Sub(t.at) < toldAge {
			total += t.running
		}
	}
	return total
}
