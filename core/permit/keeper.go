package permit

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
)

// Ask is a router's request for one permit.
type Ask struct {
	// ID is chosen by the asking router and unique within its incarnation.
	ID          uint64
	Router      core.RouterID
	Incarnation core.Incarnation
	// Seat of the asker; zero if it is of another data centre.
	Seat     core.Seat
	Upstream core.UpstreamID
	Account  core.Account
	Weight   int
	Priority int
	// Suspect is set for a request that was running when an upstream crashed.
	// No two of them run at one upstream at a time.
	Suspect bool
	// Until is when the asker gives up waiting; the zero time asks for an
	// answer at once.
	Until time.Time
}

// Permit lets one request be sent to one upstream.
type Permit struct {
	// Seq counts the permits that one keeper grants to one router.
	Seq         uint64
	Ask         uint64
	Router      core.RouterID
	Incarnation core.Incarnation
	Upstream    core.UpstreamID
	// Owner is the seat whose unit backs the permit; Epoch is its loan.
	Owner core.Seat
	Epoch uint64
	// Boot is the upstream's process for which the limit was computed.
	Boot    string
	Suspect bool
	// Granted is on the keeper's clock.
	Granted time.Time
}

// Trust is what one owner has lent to this keeper.
type Trust struct {
	Owner  core.Seat
	Epoch  uint64
	Amount int
	// Owed is what the owner's lapsed loans may still use.
	Owed int
	// Stamp is the keeper's time that the owner answered with the loan.
	Stamp time.Time
}

// Outcome is what became of an ask.
type Outcome int

const (
	// Denied means that there is no unit; the asker tries elsewhere.
	Denied Outcome = iota
	// Granted means that the permit may be used.
	Granted
	// Queued means that a later call returns the grant.
	Queued
)

// Keeper grants permits for one upstream. The zero value has no units.
type Keeper struct {
	// Seat is the keeper's own; its own share needs no lease.
	Seat core.Seat
	// Self is the keeper's name.
	Self core.RouterID
	// Lease is the timing of loans.
	Lease  Lease
	trusts map[core.Seat]Trust
	out    []Permit
	seqs   map[core.RouterID]uint64
	queue  account.Queue[Ask]
}

// Entrust takes over what an owner has lent. An older loan is ignored.
func (k *Keeper) Entrust(t Trust) {
	if k.trusts == nil {
		k.trusts = map[core.Seat]Trust{}
	}
	known := k.trusts[t.Owner]
	if t.Epoch < known.Epoch || t.Stamp.Before(known.Stamp) {
		return
	}
	k.trusts[t.Owner] = t
}

// Trusts returns the loans that the keeper holds, in order of their owners.
func (k *Keeper) Trusts() []Trust {
	all := make([]Trust, 0, len(k.trusts))
	for _, t := range k.trusts {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Trust) int { return cmp.Compare(a.Owner, b.Owner) })
	return all
}

// Out returns the permits in use.
func (k *Keeper) Out() []Permit { return k.out }

// Waiting returns the number of queued asks.
func (k *Keeper) Waiting() int { return k.queue.Len() }

// Used returns how many permits on a loan are in use.
func (k *Keeper) Used(owner core.Seat, epoch uint64) int {
	n := 0
	for _, p := range k.out {
		if p.Owner == owner && p.Epoch == epoch {
			n++
		}
	}
	return n
}

// Confirmed returns the amount of a loan that the keeper may still use: what
// was lent, or what is in use if that is more.
func (k *Keeper) Confirmed(t Trust) int {
	return max(t.Amount, k.Used(t.Owner, t.Epoch))
}

// InFlight returns how many requests may be running at the upstream as far as
// the keeper knows: its own permits and what lapsed loans may still use. A
// permit on a loan that its owner has since replaced is part of what the owner
// says it is owed.
func (k *Keeper) InFlight() int {
	n := 0
	for _, p := range k.out {
		if t, ok := k.trusts[p.Owner]; !ok || p.Epoch >= t.Epoch {
			n++
		}
	}
	for _, t := range k.trusts {
		n += t.Owed
	}
	return n
}

// MaxWaiting is the largest number of asks that wait at one keeper.
const MaxWaiting = 1024

// Ask grants a permit, queues the ask or denies it.
func (k *Keeper) Ask(now time.Time, a Ask, l Limits) (Permit, Outcome) {
	if k.queue.Len() == 0 {
		if p, ok := k.grant(now, a, l); ok {
			return p, Granted
		}
	}
	if !now.Before(a.Until) || k.queue.Len() >= MaxWaiting {
		return Permit{}, Denied
	}
	k.queue.Push(account.Waiting[Ask]{Account: a.Account, Weight: a.Weight, Priority: a.Priority, Item: a})
	return Permit{}, Queued
}

// Next grants permits to queued asks while units are free, and drops the asks
// whose time is over.
func (k *Keeper) Next(now time.Time, l Limits) []Permit {
	k.queue.Drop(func(a Ask) bool { return !now.Before(a.Until) })
	var granted []Permit
	var passed []account.Waiting[Ask]
	for k.room(l) {
		w, ok := k.queue.Pop()
		if !ok {
			break
		}
		p, ok := k.grant(now, w.Item, l)
		if !ok {
			passed = append(passed, w)
			continue
		}
		granted = append(granted, p)
	}
	for _, w := range passed {
		k.queue.Push(w)
	}
	return granted
}

// Cancel drops a queued ask. It reports whether the ask was queued.
func (k *Keeper) Cancel(router core.RouterID, id uint64) bool {
	return k.queue.Drop(func(a Ask) bool { return a.Router == router && a.ID == id }) > 0
}

func (k *Keeper) room(l Limits) bool {
	return k.InFlight() < l.Bound()
}

func (k *Keeper) grant(now time.Time, a Ask, l Limits) (Permit, bool) {
	if !k.room(l) || (a.Suspect && k.suspects()) {
		return Permit{}, false
	}
	owner, ok := k.backing(now, a)
	if !ok {
		return Permit{}, false
	}
	if k.seqs == nil {
		k.seqs = map[core.RouterID]uint64{}
	}
	k.seqs[a.Router]++
	p := Permit{
		Seq:         k.seqs[a.Router],
		Ask:         a.ID,
		Router:      a.Router,
		Incarnation: a.Incarnation,
		Upstream:    a.Upstream,
		Owner:       owner,
		Epoch:       k.trusts[owner].Epoch,
		Boot:        l.Boot,
		Suspect:     a.Suspect,
		Granted:     now,
	}
	k.out = append(k.out, p)
	return p, true
}

// suspects reports whether a suspect request may be running.
func (k *Keeper) suspects() bool {
	return slices.ContainsFunc(k.out, func(p Permit) bool { return p.Suspect })
}

// backing chooses the owner of the unit: the asker's own first. The keeper's
// own requests are backed by its own units alone, so that every permit on a
// stranger's unit is held by a router other than the keeper.
func (k *Keeper) backing(now time.Time, a Ask) (core.Seat, bool) {
	if a.Seat != 0 && k.free(now, a.Seat) > 0 {
		return a.Seat, true
	}
	if a.Router == k.Self {
		return 0, false
	}
	best, most := core.Seat(0), 0
	for _, t := range k.Trusts() {
		if n := k.free(now, t.Owner); n > most {
			best, most = t.Owner, n
		}
	}
	return best, most > 0
}

// free returns how many units of an owner may back a new permit.
func (k *Keeper) free(now time.Time, owner core.Seat) int {
	t, ok := k.trusts[owner]
	if !ok || (owner != k.Seat && now.Sub(t.Stamp) >= k.Lease.Grant()) {
		return 0
	}
	return t.Amount - k.Used(owner, t.Epoch)
}

// Release ends a permit. It reports whether the permit was in use.
func (k *Keeper) Release(router core.RouterID, in core.Incarnation, seq uint64) bool {
	return k.drop(func(p Permit) bool { return p.Router == router && p.Incarnation == in && p.Seq == seq })
}

// Sync ends the permits of a router that it no longer holds. Seen is the
// highest sequence number that the router had received when it said so; a
// permit up to there that is not held has ended, and one above may be on its
// way. Permits of earlier incarnations of the router have ended with it.
func (k *Keeper) Sync(router core.RouterID, in core.Incarnation, seen uint64, held []uint64) {
	k.drop(func(p Permit) bool {
		if p.Router != router || p.Incarnation > in {
			return false
		}
		return p.Incarnation < in || (p.Seq <= seen && !slices.Contains(held, p.Seq))
	})
}

// Expire ends permits that are older than the longest permitted request.
func (k *Keeper) Expire(now time.Time, longest time.Duration) {
	k.drop(func(p Permit) bool { return now.Sub(p.Granted) > longest })
}

func (k *Keeper) drop(ended func(Permit) bool) bool {
	before := len(k.out)
	k.out = slices.DeleteFunc(k.out, ended)
	return len(k.out) < before
}
