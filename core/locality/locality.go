// Package locality decides when a request goes to another data centre and to which one, by what
// it costs there and what it waits for here, in time of the caller's objective.
package locality

import (
	"math"
	"time"
)

// Link is what the link to another data centre costs.
type Link struct {
	// Delay is that of one direction.
	Delay time.Duration
	// Price is what a kilobyte costs that crosses, in milliseconds of the caller's objective.
	Price float64
}

// Priced reports whether crossing costs anything. If it doesn't, placement is left as it is.
func (l Link) Priced() bool { return l.Delay > 0 || l.Price > 0 }

// Place is a data centre where a request may run, as a router knows it.
type Place struct {
	// Local is true for the router's own data centre.
	Local bool
	// Full is true if all upstreams there are over the bound on the load.
	Full bool
	// Slots and Load are the slots of the other ones together and the requests expected there,
	// Upstreams their number.
	Slots, Upstreams int
	Load             float64
	// Crowding is where the mean load there lies between that of the whole pool, 0, and the
	// bound on the load, 1.
	Crowding float64
	// RunTime is how long a request holds a slot on average.
	RunTime time.Duration
	// Work is how long the upstream that is preferred there takes until the answer begins:
	// the pace of its host, and what has to be read.
	Work time.Duration
	// Connected is true if a connection to it is kept.
	Connected bool
	// Bytes is the size of the request and of its answer.
	Bytes int
	// Link is the link to it.
	Link Link
	// Silence is the time since the data centre was last heard of, Steady that for which it has
	// been heard of without a gap.
	Silence, Steady time.Duration
}

// Reason is why a request goes to another data centre; empty if it doesn't.
type Reason string

// Values of Reason.
const (
	// Here means that the request stays.
	Here Reason = ""
	// NoUpstream means that there is none in the own data centre.
	NoUpstream Reason = "none"
	// NoRoom means that the upstreams there are near the bound on the load, or over it.
	NoRoom Reason = "full"
	// Waiting means that requests wait for slots there.
	Waiting Reason = "wait"
	// Slower means that the upstream there takes longer: its host is slow, or it has to read
	// what the other one has.
	Slower Reason = "work"
)

const (
	// MaxSilence is the silence from which on a data centre isn't known: a few digests.
	MaxSilence = 3 * time.Second
	// returnTime is the time within which a data centre that is heard of again, or for the first
	// time, gets its full share of what others can't take: the router knows little of it, and
	// its upstreams may be cold.
	returnTime = 4 * time.Second
	// minGain is the least gain, as a fraction of the objective, for which a request leaves,
	// and the margin within which data centres count as equal.
	minGain = 0.05
	// crowdedFrom and crowdedAt are the Crowding from which on requests leave, and at which all
	// do. Counts of other routers' requests are late, so that a data centre that keeps what it
	// can up to the bound exceeds it.
	crowdedFrom = 0.15
	crowdedAt   = 0.6
	// maxLeaving is the largest part of the requests that leave while there is room here but they
	// have to wait: if all left, all would return together.
	maxLeaving = 0.5
	// maxUtilization bounds the utilization in the estimate of the wait, which is infinite at 1.
	maxUtilization = 0.98
)

// known reports whether the router knows what goes on in the data centre.
func (p Place) known() bool { return p.Local || p.Silence < MaxSilence }

// returning returns the share of its room that counts, from 0 to 1.
func (p Place) returning() float64 {
	if p.Local {
		return 1
	}
	return min(max(p.Steady.Seconds()/returnTime.Seconds(), 0), 1)
}

// Wait returns how long a request is expected to wait for a slot: the approximation of Sakasegawa
// for a queue with several servers, and what is beyond the slots already.
func (p Place) Wait() time.Duration {
	if p.Slots <= 0 || p.Upstreams <= 0 {
		return 0
	}
	slots := float64(p.Slots) / float64(p.Upstreams)
	load := p.Load / float64(p.Upstreams)
	used := min(max(load/slots, 0), maxUtilization)
	queue := math.Pow(used, math.Sqrt(2*(slots+1))-1) / (1 - used) / slots
	beyond := max(load-slots, 0) / slots
	return time.Duration((queue + beyond) * float64(p.RunTime))
}

// Crossing returns what the link costs.
func (p Place) Crossing() time.Duration {
	if p.Local {
		return 0
	}
	trips := 2.0
	if !p.Connected {
		trips = 4
	}
	price := p.Link.Price * float64(p.Bytes) / 1000
	return time.Duration(trips*float64(p.Link.Delay) + price*float64(time.Millisecond))
}

// Cost returns what the request costs there altogether.
func (p Place) Cost() time.Duration { return p.Wait() + p.Work + p.Crossing() }

// room returns how many requests the data centre takes besides, as far as it counts.
func (p Place) room() float64 {
	return max(float64(p.Slots)-p.Load, 0) * p.returning() * (1 - p.overflow())
}

// overflow returns the part of the requests that the data centre has no room for, as it is near
// the bound on the load.
func (p Place) overflow() float64 {
	return min(max((p.Crowding-crowdedFrom)/(crowdedAt-crowdedFrom), 0), 1)
}

// Draws are random numbers from 0 to below 1 of one request: whether it leaves, where it goes, and
// whether it goes to places that are just back.
type Draws struct{ Leave, Place, Back float64 }

// Choose returns the place for a request, or -1 if its order among all upstreams is to decide: no
// place is known that takes it. Of the requests that wait here, only the part leaves by which the
// wait is too long, and they are spread over the others by room, so that not all go to the same one.
// If all others are just back, most stay.
func Choose(objective time.Duration, places []Place, d Draws) (int, Reason) {
	local := -1
	cheapest := time.Duration(math.MaxInt64)
	for i, p := range places {
		switch {
		case p.Local:
			local = i
		case !p.Full && p.known() && p.room() > 0:
			cheapest = min(cheapest, p.Cost())
		}
	}
	margin := time.Duration(minGain * float64(objective))
	reason, most := leaveReason(places, local, cheapest, margin, d.Leave)
	if reason == Here {
		return local, Here
	}
	total, back := 0.0, 0.0
	for _, p := range places {
		if p.takes(most) {
			total += p.room()
			back = max(back, p.returning())
		}
	}
	if total <= 0 || d.Back >= back {
		return otherwise(places, local)
	}
	left := d.Place * total
	last := -1
	for i, p := range places {
		if !p.takes(most) {
			continue
		}
		last = i
		if left -= p.room(); left < 0 {
			break
		}
	}
	return last, reason
}

// leaveReason returns why a request leaves, and the highest cost of the places that it goes to.
func leaveReason(places []Place, local int, cheapest, margin time.Duration, draw float64) (Reason, time.Duration) {
	switch {
	case local < 0 || places[local].Full:
		reason := NoRoom
		if local < 0 {
			reason = NoUpstream
		}
		if cheapest == math.MaxInt64 {
			return reason, 0
		}
		return reason, cheapest + margin
	case cheapest == math.MaxInt64:
		return Here, 0
	case draw < places[local].overflow():
		return NoRoom, cheapest + margin
	}
	here := places[local]
	gain := here.Cost() - cheapest
	if gain <= margin {
		return Here, 0
	}
	most := min(cheapest+margin, here.Cost()-margin)
	if here.Wait() <= gain-margin || here.Wait() <= margin {
		return Slower, most
	}
	if draw < maxLeaving*float64(gain-margin)/float64(here.Cost()) {
		return Waiting, most
	}
	return Here, 0
}

// takes reports whether the data centre takes requests of another one at a cost of at most that.
func (p Place) takes(most time.Duration) bool {
	return !p.Local && !p.Full && p.known() && p.room() > 0 && p.Cost() <= most
}

// otherwise returns the own data centre if it takes the request, and else leaves it to the order
// among all upstreams.
func otherwise(places []Place, local int) (int, Reason) {
	if local >= 0 && !places[local].Full {
		return local, Here
	}
	return -1, Here
}
