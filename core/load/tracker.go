// Package load estimates how many requests are running or waiting at upstreams.
package load

import (
	"math"
	"time"

	"camphorpulley.org/core"
)

// Report is the load that an upstream reports in a response, in requests.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the upstream's host at the moment, in hundredths of what
	// is usual; zero if it isn't stated.
	Pace int
}

// Total returns the number of requests that run or wait.
func (r Report) Total() int { return r.Running + r.Waiting }

// Tracker estimates one upstream's load. The zero value is an upstream without load.
type Tracker struct {
	// Local is the number of this router's requests at the upstream.
	Local int
	// peers holds the counts of the routers in the local data centre, elsewhere the sum
	// of those in other data centres.
	peers     map[core.RouterID]count
	elsewhere count
	// reportedRemote is the load from other routers by the upstream's last report.
	reportedRemote int
	reportedAt     time.Time
	// usual is the moving mean of the load from other routers, as of usualAt.
	usual   float64
	usualAt time.Time
}

// count is a number of running requests, and when it was received.
type count struct {
	running    int
	receivedAt time.Time
}

// recent returns the number of requests, or zero if it is older than countTTL.
func (c count) recent(now time.Time) int {
	if now.Sub(c.receivedAt) >= countTTL {
		return 0
	}
	return c.running
}

const (
	// reportTTL is how long an upstream's report replaces the sum of the peers' counts:
	// it is at least as recent as their heartbeats.
	reportTTL = 300 * time.Millisecond
	// countTTL is how long a peer's count is used.
	countTTL = 5 * time.Second
	// usualTime is the time constant of the usual load.
	usualTime = 3 * time.Second
)

// ApplyReport records a report that an upstream made at a time, unless a later one is known.
func (t *Tracker) ApplyReport(at time.Time, r Report) {
	if at.Before(t.reportedAt) {
		return
	}
	t.reportedRemote = max(r.Total()-t.Local, 0)
	t.reportedAt = at
}

// Reported reports whether the upstream has ever reported its load.
func (t *Tracker) Reported() bool { return !t.reportedAt.IsZero() }

// ApplyPeer records how many requests a router in the local data centre has at the
// upstream.
func (t *Tracker) ApplyPeer(now time.Time, from core.RouterID, running int) {
	if running == 0 {
		if len(t.peers) > 0 {
			delete(t.peers, from)
		}
		return
	}
	if t.peers == nil {
		t.peers = map[core.RouterID]count{}
	}
	t.peers[from] = count{running, now}
}

// ApplyElsewhere records how many requests the routers in other data centres have at
// the upstream.
func (t *Tracker) ApplyElsewhere(now time.Time, running int) {
	t.elsewhere = count{running, now}
}

// UpdateUsual moves the usual load towards the current one. It is called regularly.
func (t *Tracker) UpdateUsual(now time.Time) {
	age := now.Sub(t.usualAt)
	if age <= 0 && !t.usualAt.IsZero() {
		return
	}
	remote := float64(t.neighbours(now) + t.elsewhere.recent(now))
	weight := 1 - math.Exp(-age.Seconds()/usualTime.Seconds())
	t.usual += weight * (remote - t.usual)
	t.usualAt = now
}

// neighbours returns the number of requests that the other routers in the local data
// centre have at the upstream.
func (t *Tracker) neighbours(now time.Time) int {
	running := 0
	for _, c := range t.peers {
		running += c.recent(now)
	}
	return running
}

// DataCentre returns the number of requests that this router and the others in the
// local data centre have at the upstream.
func (t *Tracker) DataCentre(now time.Time) int { return t.Local + t.neighbours(now) }

// Total returns the number of requests at the upstream as last known. peerAge is the mean
// age of the other routers' counts.
func (t *Tracker) Total(now time.Time, peerAge time.Duration) int {
	remote, _ := t.remote(now, peerAge)
	return t.Local + remote
}

// remote returns the last known number of requests from other routers, and its age.
// peerAge is the mean age of the other routers' counts.
func (t *Tracker) remote(now time.Time, peerAge time.Duration) (running int, age time.Duration) {
	if age := now.Sub(t.reportedAt); !t.reportedAt.IsZero() && age < max(reportTTL, peerAge) {
		return t.reportedRemote, age
	}
	return t.neighbours(now) + t.elsewhere.recent(now), peerAge
}

// Expected returns the load that is expected now: the older the last counts are in
// comparison to the requests' run time, the closer it is to the usual load. peerAge is
// the mean age of the other routers' counts.
func (t *Tracker) Expected(now time.Time, peerAge time.Duration, r *RunTime) float64 {
	remote, age := t.remote(now, peerAge)
	return float64(t.Local) + t.usual + (float64(remote)-t.usual)*r.relevance(age)
}
