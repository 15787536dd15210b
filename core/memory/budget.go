// Package memory decides how much a process may hold for its callers and upstreams, whose
// requests are dropped when that runs short, and which connections are closed when there are
// too many. Package budget carries the decisions out.
package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallBytes is the part of each holding that comes from the reserve, so that large
	// holdings don't keep small requests out.
	SmallBytes = 64 << 10
	// minRateTime is the least time over which a rate is taken: bytes that arrive within one
	// packet's time say nothing of the rate.
	minRateTime = 10 * time.Millisecond
)

// HoldingID identifies a holding.
type HoldingID uint64

// Holding is the memory that is held for one body: a request's while it is read or kept for
// another attempt, or a response's until the caller has read it.
type Holding struct {
	ID HoldingID
	// Client is whom the memory is held for: an account, or an address.
	Client string
	// Since is when the holding began, or when it was last unpinned.
	Since time.Time
	// Bytes is the memory held, Progress the number of bytes that the client has sent or read
	// since then.
	Bytes, Progress int64
	// Pinned holdings aren't dropped: the request may run at an upstream.
	Pinned bool
	// Dropped is true once the holding must be released.
	Dropped bool
}

// large returns the part of n bytes that doesn't come from the reserve, small the other part.
func large(n int64) int64 { return max(n-SmallBytes, 0) }
func small(n int64) int64 { return min(n, SmallBytes) }

// Budget bounds the bytes of all holdings. The zero value has no room.
type Budget struct {
	// Limit bounds the bytes of holdings beyond the first SmallBytes of each. Together with
	// those, the bytes are bounded by Limit and Reserve.
	Limit, Reserve int64
	// LargeBytes and SmallBytes are what is held beyond the first SmallBytes and within them.
	LargeBytes, SmallBytes int64
	// leavingLarge and leavingSmall are the parts of them whose holdings were dropped.
	leavingLarge, leavingSmall int64
	holdings                   map[HoldingID]*Holding
	// perClient is the number of holdings of each client.
	perClient map[string]int
	lastID    HoldingID
}

// Verdict is the answer to a request for memory.
type Verdict int

// The verdicts.
const (
	// Granted means that the memory is held now.
	Granted Verdict = iota
	// Waiting means that there is room once dropped holdings were released.
	Waiting
	// Refused means that there is none.
	Refused
)

// Decision is a verdict with the holdings to drop.
type Decision struct {
	Verdict Verdict
	Drop    []HoldingID
}

// Held returns the number of bytes held.
func (b *Budget) Held() int64 { return b.LargeBytes + b.SmallBytes }

// Begin begins a holding without bytes.
func (b *Budget) Begin(now time.Time, client string) HoldingID {
	if b.holdings == nil {
		b.holdings, b.perClient = map[HoldingID]*Holding{}, map[string]int{}
	}
	b.lastID++
	b.holdings[b.lastID] = &Holding{ID: b.lastID, Client: client, Since: now}
	b.perClient[client]++
	return b.lastID
}

// Acquire adds n bytes to a holding if there is room, or if there will be once others were
// dropped. Progress is the number of bytes that the client has sent or read so far. The holding
// itself is refused if it has made the least progress.
func (b *Budget) Acquire(now time.Time, id HoldingID, n, progress int64) Decision {
	h := b.holdings[id]
	if h == nil || h.Dropped {
		return Decision{Verdict: Refused}
	}
	h.Progress = progress
	if b.fits(h.Bytes, n, 0, 0) {
		b.LargeBytes += large(h.Bytes+n) - large(h.Bytes)
		b.SmallBytes += small(h.Bytes+n) - small(h.Bytes)
		h.Bytes += n
		return Decision{}
	}
	var drop []HoldingID
	for !b.fits(h.Bytes, n, b.leavingLarge, b.leavingSmall) {
		loser := b.loser(now, h, h.Bytes+n > SmallBytes)
		if loser == nil {
			return Decision{Verdict: Refused, Drop: drop}
		}
		b.drop(loser)
		drop = append(drop, loser.ID)
	}
	return Decision{Verdict: Waiting, Drop: drop}
}

// fits reports whether n bytes more fit for a holding of some bytes, once those that leave have
// left.
func (b *Budget) fits(bytes, n, leavingLarge, leavingSmall int64) bool {
	addLarge := large(bytes+n) - large(bytes)
	if addLarge > 0 && b.LargeBytes-leavingLarge+addLarge > b.Limit {
		return false
	}
	return b.Held()-leavingLarge-leavingSmall+n <= b.Limit+b.Reserve
}

// loser returns the holding to drop for another one, which asks for memory: the one that has
// made the least progress, the large ones first; nil if none must make room. A large one loses
// itself if no other has made less progress.
func (b *Budget) loser(now time.Time, asking *Holding, isLarge bool) *Holding {
	var worst *Holding
	for _, h := range b.holdings {
		if h.Pinned || h.Dropped || h == asking || h.Bytes == 0 || (isLarge && h.Bytes <= SmallBytes) {
			continue
		}
		if worst == nil || b.compare(now, h, worst) < 0 {
			worst = h
		}
	}
	if worst != nil && isLarge && !asking.Pinned && b.rate(now, asking) <= b.rate(now, worst) {
		return nil
	}
	return worst
}

// compare orders holdings by who loses first: large ones, then those with the lower rate.
func (b *Budget) compare(now time.Time, h, o *Holding) int {
	if c := cmp.Compare(min(large(o.Bytes), 1), min(large(h.Bytes), 1)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.rate(now, h), b.rate(now, o)), cmp.Compare(h.ID, o.ID))
}

// rate returns the progress of a holding in bytes per second over the time that it has held
// memory, divided by the number of holdings of its client: more connections gain nothing.
func (b *Budget) rate(now time.Time, h *Holding) float64 {
	return float64(h.Progress) / max(now.Sub(h.Since), minRateTime).Seconds() / float64(max(b.perClient[h.Client], 1))
}

func (b *Budget) drop(h *Holding) {
	h.Dropped = true
	b.leavingLarge += large(h.Bytes)
	b.leavingSmall += small(h.Bytes)
}

// Pin keeps a holding from being dropped. It returns false if it was dropped before.
func (b *Budget) Pin(id HoldingID) bool {
	h := b.holdings[id]
	if h == nil || h.Dropped {
		return false
	}
	h.Pinned = true
	return true
}

// Unpin permits to drop a holding by the progress that its client makes from now on.
func (b *Budget) Unpin(now time.Time, id HoldingID) {
	if h := b.holdings[id]; h != nil {
		h.Pinned, h.Since, h.Progress = false, now, 0
	}
}

// Advance records the progress of a holding since it was unpinned.
func (b *Budget) Advance(id HoldingID, progress int64) {
	if h := b.holdings[id]; h != nil {
		h.Progress = progress
	}
}

// Release ends a holding.
func (b *Budget) Release(id HoldingID) {
	h := b.holdings[id]
	if h == nil {
		return
	}
	b.LargeBytes -= large(h.Bytes)
	b.SmallBytes -= small(h.Bytes)
	if h.Dropped {
		b.leavingLarge -= large(h.Bytes)
		b.leavingSmall -= small(h.Bytes)
	}
	delete(b.holdings, id)
	if b.perClient[h.Client]--; b.perClient[h.Client] == 0 {
		delete(b.perClient, h.Client)
	}
}

// Holdings returns copies of all holdings by their ids, for logs and tests.
func (b *Budget) Holdings() []Holding {
	all := make([]Holding, 0, len(b.holdings))
	for _, h := range b.holdings {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, o Holding) int { return cmp.Compare(a.ID, o.ID) })
	return all
}
