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

// acquire returns a permit for a request: at once from one of the first
// upstreams, or after a wait at the first.
func (t *try) acquire(ctx context.Context) (permit.Held, *core.Refusal) {
	s, c := t.server, t.call
	candidates := s.Place(time.Now(), route.Request{
		Account: c.Account.Name, Pool: c.Pool.Name, Key: c.Key, Avoid: t.avoid, Only: t.only,
	})
	if len(candidates) == 0 {
		return permit.Held{}, &core.Refusal{
			Status: 503, Certainty: core.NotRun, Code: "no_upstream",
			Message: "no upstream that may serve the request is in service", RetryAfter: retryAfter,
		}
	}
	if !s.Permits {
		return s.Node.HoldUnbounded(candidates[0].ID), nil
	}
	want := node.Want{
		Account: c.Account.Name, Weight: c.Account.Weight(), Priority: c.Account.Priority, Suspect: t.suspect,
	}
	for i, candidate := range candidates[:min(len(candidates), immediateTries)] {
		want.Upstream = candidate.ID
		timeout := askTimeout
		if want.Wait = 0; i == 0 && s.Home > 0 {
			want.Wait = s.Home
			timeout = s.Home + homeSlack
		}
		if held, ok := s.ask(ctx, want, timeout); ok {
			return held, nil
		}
	}
	if held, ok := s.waitAny(ctx, c, want, candidates); ok {
		return held, nil
	}
	return permit.Held{}, &core.Refusal{
		Status: 429, Certainty: core.NotRun, Code: "no_capacity",
		Message: "no upstream could take the request in time", RetryAfter: retryAfter,
	}
}

// waitAny waits for a permit at the first upstream, and then asks the others
// once more.
func (s *Server) waitAny(ctx context.Context, c *Call, want node.Want, candidates []chat.Candidate) (permit.Held, bool) {
	wait := min(c.Pool.Wait, time.Until(c.Deadline))
	if wait > 0 {
		want.Upstream = candidates[0].ID
		want.Wait = wait
		if held, ok := s.ask(ctx, want, wait); ok {
			return held, true
		}
		want.Wait = 0
	}
	for _, candidate := range candidates {
		want.Upstream = candidate.ID
		if held, ok := s.ask(ctx, want, askTimeout); ok {
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
	reply := s.waiters.get(answer.Ask)
	defer s.waiters.drop(answer.Ask)
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
