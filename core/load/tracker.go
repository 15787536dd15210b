// Package load estimates how many requests are running or waiting at upstreams.
package load

import (
	"time"

	"camphorpulley.org/core"
)

// Report is the load that an upstream reports in a response, in requests.
type Report struct {
	Running, Waiting, Slots int
}

// Tracker estimates one upstream's load. The zero value is an upstream without load.
type Tracker struct {
	// Local is the number of this router's requests at the upstream.
	Local int
	peers map[core.RouterID]peerCount
	// reportedRemote is the load from other routers by the upstream's last report.
	reportedRemote int
	reportedAt     time.Time
}

type peerCount struct {
	running    int
	receivedAt time.Time
}

const (
	// reportTTL is how long an upstream's report replaces the sum of the peers' counts:
	// it is at least as recent as their heartbeats.
	reportTTL = 300 * time.Millisecond
	// peerCountTTL is how long a peer's count is used.
	peerCountTTL = 5 * time.Second
)

// ApplyReport records an upstream's report.
func (t *Tracker) ApplyReport(now time.Time, r Report) {
	t.reportedRemote = max(r.Running+r.Waiting-t.Local, 0)
	t.reportedAt = now
}

// ApplyPeer records how many requests another router has at the upstream.
func (t *Tracker) ApplyPeer(now time.Time, from core.RouterID, running int) {
	if t.peers == nil {
		t.peers = map[core.RouterID]peerCount{}
	}
	if running == 0 {
		delete(t.peers, from)
		return
	}
	t.peers[from] = peerCount{running: running, receivedAt: now}
}

// Total returns the estimated number of requests at the upstream.
func (t *Tracker) Total(now time.Time) int {
	if !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < reportTTL {
		return t.Local + t.reportedRemote
	}
	total := t.Local
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) < peerCountTTL {
			total += p.running
		}
	}
	return total
}
