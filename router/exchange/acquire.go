package exchange

import (
	"context"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/route"
)

// acquire returns a permit for a request. It asks the first upstreams, waiting a
// little at the first, and begins anew until the wait of the pool is over.
func (t *try) acquire(ctx context.Context) (permit.Held, *core.Refusal) {
	s, c := t.server, t.call
	over := time.Now().Add(min(c.Pool.Wait, time.Until(c.Deadline)))
	wait := s.Home
	for {
		candidates := s.Place(time.Now(), route.Request{
			Account: c.Account.Name, Pool: c.Pool.Name, Key: c.Key, Avoid: t.avoid, Only: t.only,
		})
		if len(candidates) == 0 {
			return permit.Held{}, noPermit("no_upstream", 503, "no upstream that may serve the request is in service")
		}
		if !s.Permits {
			return s.Node.HoldUnbounded(candidates[0].ID), nil
		}
		if held, ok := t.askFirst(ctx, candidates, wait); ok {
			return held, nil
		}
		left := time.Until(over)
		if left <= 0 || ctx.Err() != nil {
			return permit.Held{}, noPermit("no_capacity", 429, "no upstream could take the request in time")
		}
		// An upstream that fails meanwhile must not hold the request up for
		// the whole wait.
		wait = min(waitSlice, left)
	}
}

// noPermit refuses a request for which there is no permit.
func noPermit(code string, status int, message string) *core.Refusal {
	return &core.Refusal{
		Status: status, Certainty: core.NotRun, Code: code, Message: message, RetryAfter: retryAfter,
	}
}

// askFirst waits for a permit at the first upstream and asks some others for
// one at once.
func (t *try) askFirst(ctx context.Context, candidates []chat.Candidate, wait time.Duration) (permit.Held, bool) {
	s, a := t.server, t.call.Account
	for i, candidate := range candidates[:min(len(candidates), immediateTries)] {
		want := node.Want{
			Upstream: candidate.ID, Account: a.Name, Weight: a.Weight(), Priority: a.Priority, Suspect: t.suspect,
		}
		timeout := askTimeout
		if i == 0 && wait > 0 {
			want.Wait = wait
			timeout = wait + homeSlack
		}
		if held, ok := s.ask(ctx, want, timeout); ok {
			return held, true
		}
	}
	return permit.Held{}, false
}

// ask asks for one permit and waits for the answer.
func (s *Server) ask(ctx context.Context, want node.Want, timeout time.Duration) (permit.Held, bool) {
	answer, effects := s.Node.Ask(time.Now(), want)
	s.Carry(effects)
	if answer.Outcome != permit.Queued {
		return answer.Held, answer.Outcome == permit.Granted
	}
	reply := s.waiter(answer.Ask)
	defer s.forget(answer.Ask)
	if r, ok := s.await(ctx, answer.Ask, reply, timeout); ok {
		return r.Held, r.Granted
	}
	withdrawn, effects := s.Node.Withdraw(answer.Ask, want.Wait == 0)
	s.Carry(effects)
	if withdrawn {
		return permit.Held{}, false
	}
	// The answer came first and is on its way here.
	r := <-reply
	return r.Held, r.Granted
}

// await waits for the answer of an ask and reminds its keeper meanwhile.
func (s *Server) await(ctx context.Context, ask uint64, reply <-chan node.Reply, timeout time.Duration) (node.Reply, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reminder := time.NewTicker(s.Node.Self().Lease.Use() / 2)
	defer reminder.Stop()
	for {
		select {
		case r := <-reply:
			return r, true
		case now := <-reminder.C:
			s.Carry(s.Node.Remind(now, ask))
		case <-timer.C:
			return node.Reply{}, false
		case <-ctx.Done():
			return node.Reply{}, false
		}
	}
}
