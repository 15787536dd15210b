package dispatch

import (
	"math"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/ratelimit"
)

// host is an upstream with its requests and its pace.
type host struct {
	Upstream
	// starts holds when the slots that are taken were granted, in ascending order.
	starts []time.Time
	// sum and count are the moving sum of run times in seconds and their number, as of heardAt.
	sum, count float64
	heardAt    time.Time
	// failures is the number of requests in a row that didn't reach it.
	failures    int
	pausedUntil time.Time
	// strictUntil is until when it gets none beyond its slots, since it has rejected one.
	strictUntil time.Time
	cold        ratelimit.Window
}

const (
	// paceKept is the part of earlier run times that counts beside a new one: three slow
	// answers are enough to notice a slow host.
	paceKept = 0.7
	// paceTime is the time constant with which run times are forgotten. A host is slow for some
	// 600 ms, and one that is left alone is only known to be usual again if it is tried.
	paceTime = 250 * time.Millisecond
	// priorRuns is the weight of the usual run time in the pace, in run times.
	priorRuns = 1
	// loadWeight is the part of a run time by which a request is taken to last longer at an
	// upstream whose slots are all taken: equal hosts share the requests, so that one that turns
	// slow holds few of them.
	loadWeight = 0.5
	// remoteTime is what an answer from another data centre takes longer, both ways.
	remoteTime = 2 * time.Millisecond
	// minFailures is the number of requests in a row that didn't reach an upstream after which it
	// gets none for failurePause. A single one may be the fault of its router's link.
	minFailures  = 2
	failurePause = 300 * time.Millisecond
	// strictTime is for how long an upstream that has rejected a request beyond its slots gets no
	// other one: it may have no queue, and each rejection may turn a router away for a time.
	strictTime = time.Minute
	// boundFraction and boundSlack are those of the bound on the load in core/fleet.
	boundFraction = 0.8
	boundSlack    = 2
)

func (h *host) add(at time.Time) {
	i, _ := slices.BinarySearchFunc(h.starts, at, time.Time.Compare)
	h.starts = slices.Insert(h.starts, i, at)
}

func (h *host) remove(at time.Time) {
	if i, ok := slices.BinarySearchFunc(h.starts, at, time.Time.Compare); ok {
		h.starts = slices.Delete(h.starts, i, i+1)
	}
}

// answered records a run time.
func (h *host) answered(now time.Time, ran time.Duration) {
	kept := paceKept * h.relevance(now)
	h.sum, h.count = kept*h.sum+ran.Seconds(), kept*h.count+1
	h.heardAt = now
}

func (h *host) relevance(now time.Time) float64 {
	return math.Exp(-max(now.Sub(h.heardAt), 0).Seconds() / paceTime.Seconds())
}

func (h *host) pauseUntil(t time.Time) {
	if t.After(h.pausedUntil) {
		h.pausedUntil = t
	}
}

func (h *host) countCold(now time.Time) {
	if h.Cold {
		h.cold.Add(now)
	}
}

// pace returns how long a request takes at an upstream now: the mean of its latest run times,
// which also counts by how much the requests there have exceeded the usual time already.
func (d *Dispatcher) pace(now time.Time, h *host) time.Duration {
	usual := d.usualRun().Seconds()
	kept := h.relevance(now)
	sum := priorRuns*usual + kept*h.sum
	for _, at := range h.starts {
		sum += max(now.Sub(at).Seconds()-usual, 0)
	}
	return time.Duration(sum / (priorRuns + kept*h.count) * float64(time.Second))
}

// allShare is the share of the slots from which on it counts as all of them: a router that has just
// died still counts among those that may exist.
const allShare = 0.9

// divided reports whether other dispatchers may grant a part of the slots.
func (d *Dispatcher) divided() bool { return d.limits.Share > 0 && d.limits.Share < allShare }

// slots returns the number of slots of an upstream that may be granted.
func (d *Dispatcher) slots(h *host) int {
	if !d.divided() {
		return h.Slots
	}
	return max(int(d.limits.Share*float64(h.Slots)+0.5), 1)
}

// room returns the number of requests that an upstream may have at a time. What several dispatchers
// grant together may be one more than the slots already.
func (d *Dispatcher) room(now time.Time, h *host) int {
	if d.divided() || now.Before(h.strictUntil) {
		return d.slots(h)
	}
	return h.Slots + beyondSlots
}

// anyRoom reports whether some upstream has room.
func (d *Dispatcher) anyRoom(now time.Time) bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return len(h.starts) < d.room(now, h) })
}

// bound returns the highest load that an upstream may have beside those of the others.
func (d *Dispatcher) bound() int {
	taken := 0
	for _, h := range d.hosts {
		taken += len(h.starts)
	}
	mean := float64(taken) / float64(max(len(d.hosts), 1))
	multiple := 1 + (max(d.limits.LoadFactor, 1)-1)*boundFraction
	return int(multiple*mean + boundSlack)
}

// endAt returns when a request is expected to end at an upstream.
func (d *Dispatcher) endAt(now time.Time, h *host, dc core.DataCentre) time.Time {
	run := d.pace(now, h)
	begins := now
	if over := len(h.starts) - h.Slots; over >= 0 {
		// It waits for the slot that is free next.
		begins = later(now, h.starts[min(over, len(h.starts)-1)].Add(run))
	}
	crowding := loadWeight * float64(len(h.starts)) / float64(max(h.Slots, 1))
	end := begins.Add(run + time.Duration(crowding*float64(run)))
	if h.DataCentre != dc {
		end = end.Add(remoteTime)
	}
	return end
}

// bestHost returns the upstream with room where a request is expected to end first; nil if there
// is none. Upstreams over the bound and cold ones get it only if no other has a free slot.
func (d *Dispatcher) bestHost(now time.Time, q queued) *host {
	var best *host
	var bestEnd time.Time
	bestClass, bound := 0, d.bound()
	for _, h := range d.hosts {
		if !d.takes(now, h, q) {
			continue
		}
		end := d.endAt(now, h, q.DataCentre)
		class := 0
		switch {
		case len(h.starts) >= d.slots(h) && end.After(q.latest):
			continue
		case h.Cold:
			class = 2
		case len(h.starts)+1 > bound:
			class = 1
		}
		if best == nil || class < bestClass || (class == bestClass && end.Before(bestEnd)) {
			best, bestEnd, bestClass = h, end, class
		}
	}
	return best
}

// takes reports whether an upstream may get a request now.
func (d *Dispatcher) takes(now time.Time, h *host, q queued) bool {
	switch {
	case len(h.starts) >= d.room(now, h), now.Before(h.pausedUntil), slices.Contains(q.Excluded, h.ID):
		return false
	case h.failures >= minFailures && len(h.starts) > 0:
		// One request tests whether it can be reached again.
		return false
	case h.Cold && d.limits.ColdRate > 0:
		return float64(h.cold.Count(now, time.Second)+1) <= max(d.limits.ColdRate*d.limits.Share, 1)
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
