package dispatch

import (
	"slices"
	"time"
)

// queued is a request that waits for a slot.
type queued struct {
	Request
	at time.Time
	// serial is its place in the order of asking.
	serial uint64
	// latest is the time by which it is to end.
	latest time.Time
}

const (
	// minPatience is how long after it has asked a request may end at least, also if its
	// objective is nearly over then: a late answer is worth more than none.
	minPatience = 100 * time.Millisecond
	// floorInterval is how many grants others get at most before one goes to a rank, an account
	// or a data centre that waits.
	floorInterval = 10
)

// latestEnd returns the time by which a request is to end: its objective, or its deadline if it
// has none or work for it is already done.
func (d *Dispatcher) latestEnd(now time.Time, r Request) time.Time {
	latest := r.Objective
	if latest.IsZero() || r.Runs > 0 {
		latest = r.Deadline
	}
	latest = later(latest, now.Add(minPatience))
	if !r.Deadline.IsZero() && r.Deadline.Before(latest) {
		return r.Deadline
	}
	return latest
}

// latestStart returns until when a request waits for a slot.
func (d *Dispatcher) latestStart(q queued) time.Time {
	return later(q.latest.Add(-d.usualRun()), q.at.Add(time.Millisecond))
}

// before reports whether a goes before b: by rank, work done, account in turn, and objective.
func (d *Dispatcher) before(a, b queued) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if (a.Runs > 0) != (b.Runs > 0) {
		return a.Runs > 0
	}
	if ta, tb := d.floors.last(accountOf(a.Request)), d.floors.last(accountOf(b.Request)); ta != tb {
		return ta < tb
	}
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.serial < b.serial
}

// nextQueued returns the index of the request that is to get the next slot, of those from an
// index on.
func (d *Dispatcher) nextQueued(from int) int {
	best := from
	for i := from + 1; i < len(d.queue); i++ {
		a, b := d.queue[i], d.queue[best]
		fa, fb := d.floors.overdue(a.Request), d.floors.overdue(b.Request)
		if fa > fb || (fa == fb && d.before(a, b)) {
			best = i
		}
	}
	return best
}

// ahead returns how many of the requests that wait get a slot before another one.
func (d *Dispatcher) ahead(q queued) int {
	n := 0
	for _, other := range d.queue {
		if d.before(other, q) {
			n++
		}
	}
	return min(n, d.floors.untilDue(q.Request))
}

func (d *Dispatcher) queuedAt(k Key) int {
	for i, q := range d.queue {
		if q.Key == k {
			return i
		}
	}
	return -1
}

func (d *Dispatcher) removeQueued(k Key) {
	if i := d.queuedAt(k); i >= 0 {
		d.queue = append(d.queue[:i], d.queue[i+1:]...)
	}
}

// class is a rank, an account or a data centre.
type class struct {
	kind byte
	name string
	rank int
}

func accountOf(r Request) class { return class{kind: 'a', name: string(r.Account)} }

func classesOf(r Request) [3]class {
	return [3]class{accountOf(r), {kind: 'r', rank: r.Rank}, {kind: 'd', name: string(r.DataCentre)}}
}

// floors counts grants, so that each class gets one in floorInterval while it waits. The zero
// value has counted none.
type floors struct {
	count int
	// lastGrant holds by class the count at its last grant, or when it began to wait.
	lastGrant map[class]int
}

// maxClasses bounds the classes that are kept. All are forgotten if there are more, which lets
// each wait for floorInterval grants once more.
const maxClasses = 1024

// wait records that a request waits beside others. A class that begins to wait doesn't gain from
// the time in which it had none.
func (f *floors) wait(r Request, others []queued) {
	if f.lastGrant == nil || len(f.lastGrant) > maxClasses {
		f.lastGrant = map[class]int{}
	}
	for i, c := range classesOf(r) {
		last, known := f.lastGrant[c]
		waits := slices.ContainsFunc(others, func(q queued) bool { return classesOf(q.Request)[i] == c })
		if !known || (!waits && f.count-last > floorInterval) {
			f.lastGrant[c] = f.count
		}
	}
}

// granted counts a grant.
func (f *floors) granted(r Request) {
	f.count++
	for _, c := range classesOf(r) {
		f.lastGrant[c] = f.count
	}
}

func (f *floors) last(c class) int { return f.lastGrant[c] }

// overdue returns by how many grants the class of a request that has waited longest has exceeded
// floorInterval; zero if none has.
func (f *floors) overdue(r Request) int {
	most := 0
	for _, c := range classesOf(r) {
		most = max(most, f.count-f.lastGrant[c]-floorInterval+1)
	}
	return most
}

// untilDue returns after how many grants a class of a request is due.
func (f *floors) untilDue(r Request) int {
	least := floorInterval
	for _, c := range classesOf(r) {
		least = min(least, max(floorInterval-(f.count-f.lastGrant[c]), 0))
	}
	return least
}
