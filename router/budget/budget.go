// Package budget carries out the decisions of package memory for a process: it asks for memory
// before a body is read, waits until dropped holdings were released, and makes those end that
// are dropped.
package budget

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core/memory"
	"camphorpulley.org/core/table"
)

// ShortError reports that a holding gets no memory, or was dropped for others.
type ShortError struct{}

// Error implements error.
func (*ShortError) Error() string { return "the router's memory is short" }

// Pool is the memory that a process may hold for its callers. A nil *Pool has no bound.
type Pool struct {
	log   *zap.Logger
	state *table.Cell[state]
	// refused is the number of holdings that were refused or dropped.
	refused atomic.Int64
}

type state struct {
	budget memory.Budget
	live   map[memory.HoldingID]*Holding
	// released is closed at the next release; nil if nobody waits for one.
	released chan struct{}
	// short is true from the first refusal or drop until half of the budget is free.
	short bool
}

// New returns a pool; nil, which has no bound, if the limits state none.
func New(l memory.Limits, log *zap.Logger) *Pool {
	if l.Held == 0 {
		return nil
	}
	return &Pool{log: log, state: table.New(table.RankMemory, state{
		budget: memory.Budget{Limit: l.Held, Reserve: l.Reserve}, live: map[memory.HoldingID]*Holding{},
	})}
}

// Held returns the number of bytes held.
func (p *Pool) Held() int64 {
	if p == nil {
		return 0
	}
	return table.Read(p.state, table.Hold{}, func(s *state) int64 { return s.budget.Held() })
}

// Refused returns the number of holdings that were refused or dropped so far.
func (p *Pool) Refused() int64 {
	if p == nil {
		return 0
	}
	return p.refused.Load()
}

// Holding is the memory held for one body. A nil *Holding has no bound. Its methods are for one
// goroutine.
type Holding struct {
	pool *Pool
	id   memory.HoldingID
	// cut makes the holder's wait for its client end. It is guarded by the pool's state.
	cut func()
	// dropped is closed once the holding must be released.
	dropped chan struct{}
}

// Begin begins a holding for a client. Cut is called at most once, by any goroutine, if the
// holding is dropped: it must end the wait for the client and not block.
func (p *Pool) Begin(client string, cut func()) *Holding {
	if p == nil {
		return nil
	}
	h := &Holding{pool: p, cut: cut, dropped: make(chan struct{})}
	p.state.Do(table.Hold{}, func(_ table.Hold, s *state) {
		h.id = s.budget.Begin(time.Now(), client)
		s.live[h.id] = h
	})
	return h
}

// Acquire asks for n bytes more, and waits until holdings that make room were released.
// Progress is the number of bytes that the client has sent or read so far. The error is a
// *ShortError.
func (h *Holding) Acquire(n int, progress int64) error {
	if h == nil {
		return nil
	}
	for {
		d, released := h.pool.acquire(h, n, progress)
		switch d.Verdict {
		case memory.Granted:
			return nil
		case memory.Refused:
			h.pool.refused.Add(1)
			return &ShortError{}
		case memory.Waiting:
		}
		select {
		case <-released:
		case <-h.dropped:
		}
	}
}

// acquire makes one attempt. It returns what is closed at the next release.
func (p *Pool) acquire(h *Holding, n int, progress int64) (memory.Decision, <-chan struct{}) {
	var d memory.Decision
	var released chan struct{}
	var cuts []func()
	becameShort, held := false, int64(0)
	p.state.Do(table.Hold{}, func(_ table.Hold, s *state) {
		d = s.budget.Acquire(time.Now(), h.id, int64(n), progress)
		for _, id := range d.Drop {
			loser := s.live[id]
			close(loser.dropped)
			cuts = append(cuts, loser.cut)
		}
		if d.Verdict == memory.Waiting {
			if s.released == nil {
				s.released = make(chan struct{})
			}
			released = s.released
		}
		becameShort, held = d.Verdict != memory.Granted && !s.short, s.budget.Held()
		s.short = s.short || becameShort
	})
	for _, cut := range cuts {
		cut()
	}
	if becameShort {
		p.log.Warn("memory_short", zap.Int64("held", held))
	}
	return d, released
}

// Pin keeps the holding from being dropped, because the request may run from now on. The error
// is a *ShortError if it was dropped before.
func (h *Holding) Pin() error {
	if h == nil {
		return nil
	}
	if !table.Read(h.pool.state, table.Hold{}, func(s *state) bool { return s.budget.Pin(h.id) }) {
		h.pool.refused.Add(1)
		return &ShortError{}
	}
	return nil
}

// Unpin permits to drop the holding, by the progress that its client makes from now on. Cut
// replaces that of Begin.
func (h *Holding) Unpin(cut func()) {
	if h == nil {
		return
	}
	h.pool.state.Do(table.Hold{}, func(_ table.Hold, s *state) {
		h.cut = cut
		s.budget.Unpin(time.Now(), h.id)
	})
}

// Advance records how much the client has read since Unpin.
func (h *Holding) Advance(progress int64) {
	if h == nil {
		return
	}
	h.pool.state.Do(table.Hold{}, func(_ table.Hold, s *state) { s.budget.Advance(h.id, progress) })
}

// Release ends the holding. It may be called more than once.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	ended, held := false, int64(0)
	h.pool.state.Do(table.Hold{}, func(_ table.Hold, s *state) {
		s.budget.Release(h.id)
		delete(s.live, h.id)
		if s.released != nil {
			close(s.released)
			s.released = nil
		}
		held = s.budget.Held()
		ended = s.short && held <= s.budget.Limit/2
		s.short = s.short && !ended
	})
	if ended {
		h.pool.log.Info("memory_short_ended", zap.Int64("held", held), zap.Int64("refused", h.pool.refused.Load()))
	}
}
