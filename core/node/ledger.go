package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
)

// refresh brings an upstream's ledger up to the present: loans lapse, and the
// own share counts as trust if the own router is the keeper.
func (n *Node) refresh(v view, l ledgers, u upstream.Upstream) *ledger {
	book := l[u.ID]
	if book == nil {
		book = &ledger{}
		book.keeper.Self = n.settings.ID
		book.keeper.Seat = n.settings.Seat
		book.keeper.Lease = n.settings.Lease
		book.share.Begin(n.started, n.settings.Incarnation, n.settings.Lease.Whole(), n.others(v))
		l[u.ID] = book
	}
	longest := v.pool(u).MaxRunTime
	if book.share.Due(v.now) {
		book.share.Lapse(v.now, n.others(v))
	}
	book.share.Expire(v.now, longest)
	book.keeper.Expire(v.now, longest+n.settings.Lease.Whole())
	own := permit.Trust{Owner: n.settings.Seat, Stamp: v.now}
	if keeper, ok := v.keeperOf(u); ok && keeper.ID == n.settings.ID {
		size := n.size(v, u)
		own.Amount = book.share.Free(v.now, size)
		own.Owed = book.share.Owed(v.now, size)
	}
	book.keeper.Entrust(own)
	return book
}

// lend returns the loans of the own shares to a keeper.
func (n *Node) lend(v view, to permit.Borrower) []Loan {
	var loans []Loan
	others := n.others(v)
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, u := range v.Upstreams {
			if u.DataCentre != n.settings.DataCentre {
				continue
			}
			if keeper, ok := v.keeperOf(u); !ok || keeper.ID != to.Keeper {
				continue
			}
			book := n.refresh(v, *l, u)
			size := n.size(v, u) - book.keeper.Used(n.settings.Seat, 0)
			loan := book.share.Lend(v.now, to, size, n.settings.Lease.Whole(), others)
			if loan.Epoch == 0 {
				continue
			}
			loans = append(loans, Loan{Upstream: u.ID, Epoch: loan.Epoch, Amount: loan.Amount, Owed: book.share.Owed(v.now, size)})
		}
	})
	return loans
}

// confirm returns what the own router, as keeper, may use of an owner's loans.
func (n *Node) confirm(v view, owner core.Seat) []Confirmed {
	var all []Confirmed
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		for _, u := range v.Upstreams {
			book := (*l)[u.ID]
			if book == nil {
				continue
			}
			for _, t := range book.keeper.Trusts() {
				if t.Owner == owner && t.Epoch != 0 {
					all = append(all, Confirmed{Upstream: u.ID, Epoch: t.Epoch, Amount: book.keeper.Confirmed(t)})
				}
			}
		}
	})
	return all
}

// indebted reports whether any share waits for a router to speak.
func (n *Node) indebted(router core.RouterID) bool {
	return table.Read(n.permits, table.Hold{}, func(l *ledgers) bool {
		for _, book := range *l {
			if book.share.Awaits(router) {
				return true
			}
		}
		return false
	})
}

// Reported takes in a load report that was asked for at a time. Age is how old
// it was.
func (n *Node) Reported(now, asked time.Time, id core.UpstreamID, boot string, running int, age time.Duration) Effects {
	n.observe(now, id, Answered, boot)
	n.permits.Do(table.Hold{}, func(_ table.Hold, l *ledgers) {
		if book := (*l)[id]; book != nil && boot != "" {
			book.share.Report(now, asked.Add(-age), running)
		}
	})
	return n.serve(now, id)
}

// Unreachable says that an upstream refused a connection for a probe.
func (n *Node) Unreachable(now time.Time, id core.UpstreamID) {
	n.observe(now, id, Refused, "")
}

// observe updates the state of an upstream.
func (n *Node) observe(now time.Time, id core.UpstreamID, o Outcome, boot string) {
	if o == Unused {
		return
	}
	evidence := map[Outcome]upstream.Evidence{
		Answered: upstream.Answered, Refused: upstream.ConnectFailed, Broke: upstream.ConnectionBroke,
	}[o]
	n.upstreams.Do(table.Hold{}, func(_ table.Hold, t *upstreams) {
		u, ok := t.byID[id]
		if !ok {
			return
		}
		n.put(t, u, u.State.Observe(now, evidence, boot))
	})
}

// put stores the state of an upstream and replaces the list if it changed.
func (n *Node) put(t *upstreams, u upstream.Upstream, s upstream.State) {
	if s == u.State {
		return
	}
	u.State = s
	t.byID[u.ID] = u
	t.rebuild()
	n.changed()
}

func (t *upstreams) rebuild() {
	list := make([]upstream.Upstream, 0, len(t.byID))
	for _, u := range t.byID {
		list = append(list, u)
	}
	upstream.SortByID(list)
	t.list = list
}

// runningIn counts the permits held for upstreams of a pool.
func (h *holdings) runningIn(name core.Pool) int {
	return h.held.Count(func(p permit.Held) bool { return p.Pool == name })
}

// wantedIn counts the permits held and asked for in a pool.
func (h *holdings) wantedIn(name core.Pool) int {
	n := h.runningIn(name)
	for _, a := range h.asks {
		if a.pool == name {
			n++
		}
	}
	return n
}

// SeenBoot takes in which process of an upstream answered on a new connection.
// It reports false if another one was known.
func (n *Node) SeenBoot(now time.Time, id core.UpstreamID, boot string) bool {
	u, ok := n.Upstream(id)
	if !ok {
		return false
	}
	n.observe(now, id, Answered, boot)
	return u.State.Boot == "" || u.State.Boot == boot
}
