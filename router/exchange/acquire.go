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

// acquirePermit returns a permit at one of the upstreams that may serve the
// request, or a refusal if no upstream may (no_upstream) or none granted a
// permit in time (no_capacity). In each round it waits at the first candidate,
// in the first round for CacheWait, and requests permits from the next ones
// without a wait. Rounds repeat until the pool's wait or the deadline of the
// call is over.
func (s *callState) acquirePermit(ctx context.Context) (permit.Held, *core.Refusal) {
	f, c := s.forwarder, s.call
	waitEnd := time.Now().Add(min(c.Pool.MaxWait, time.Until(c.Deadline)))
	wait := f.CacheWait
	for {
		candidates := f.Candidates(time.Now(), route.Request{
			Account: c.Account.Name, Pool: c.Pool.Name, AffinityKey: c.AffinityKey, Avoid: s.avoid, Only: s.only,
		})
		if len(candidates) == 0 {
			return permit.Held{}, permitRefusal("no_upstream", 503, "no upstream that may serve the request is in service")
		}
		if !f.Permits {
			return f.Node.TrackWithoutPermit(candidates[0].ID), nil
		}
		if held, ok := s.requestFromCandidates(ctx, candidates, wait); ok {
			return held, nil
		}
		left := time.Until(waitEnd)
		if left <= 0 || ctx.Err() != nil {
			return permit.Held{}, permitRefusal("no_capacity", 429, "no upstream could take the request in time")
		}
		// Waits are short so that an upstream that fails meanwhile does not
		// hold the request up until waitEnd.
		wait = min(maxWaitPerUpstream, left)
	}
}

// permitRefusal returns the refusal of a request that got no permit.
func permitRefusal(code string, status int, message string) *core.Refusal {
	return &core.Refusal{
		Status: status, Certainty: core.NotRun, Code: code, Message: message, RetryAfter: retryAfter,
	}
}

// requestFromCandidates requests a permit from the first candidate, which may
// queue the request for wait, and then from the next ones, which must decide at
// once. It reports whether a permit was granted.
func (s *callState) requestFromCandidates(ctx context.Context, candidates []chat.Candidate, wait time.Duration) (permit.Held, bool) {
	f, a := s.forwarder, s.call.Account
	for i, candidate := range candidates[:min(len(candidates), candidatesPerRound)] {
		spec := node.PermitSpec{
			Upstream: candidate.ID, Account: a.Name, Weight: a.Weight(), Priority: a.Priority, Suspect: s.suspect,
		}
		timeout := permitTimeout
		if i == 0 && wait > 0 {
			spec.Wait = wait
			timeout = wait + grantTransitTime
		}
		if held, ok := f.requestPermit(ctx, spec, timeout); ok {
			return held, true
		}
	}
	return permit.Held{}, false
}

// requestPermit requests a permit for one upstream from its coordinator and
// waits up to timeout for the reply. It withdraws the permit request if no
// reply came in time.
func (f *Forwarder) requestPermit(ctx context.Context, spec node.PermitSpec, timeout time.Duration) (permit.Held, bool) {
	answer, effects := f.Node.Acquire(time.Now(), spec)
	f.ApplyEffects(effects)
	if answer.Decision != permit.Queued {
		return answer.Held, answer.Decision == permit.Granted
	}
	reply := f.replyChannel(answer.RequestID)
	defer f.dropReplyChannel(answer.RequestID)
	if r, ok := f.awaitReply(ctx, answer.RequestID, reply, timeout); ok {
		return r.Held, r.Granted
	}
	withdrawn, effects := f.Node.Withdraw(answer.RequestID, spec.Wait == 0)
	f.ApplyEffects(effects)
	if withdrawn {
		return permit.Held{}, false
	}
	// The permit request was answered before it could be withdrawn: the reply
	// is in the channel or will be soon.
	r := <-reply
	return r.Held, r.Granted
}

// awaitReply waits up to timeout for the reply to a permit request. Meanwhile
// it reminds the coordinator that the request is still waiting.
func (f *Forwarder) awaitReply(ctx context.Context, id uint64, reply <-chan node.Reply, timeout time.Duration) (node.Reply, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reminder := time.NewTicker(f.Node.Settings().LeaseTiming.UseWindow() / 2)
	defer reminder.Stop()
	for {
		select {
		case r := <-reply:
			return r, true
		case now := <-reminder.C:
			f.ApplyEffects(f.Node.RefreshRequest(now, id))
		case <-timer.C:
			return node.Reply{}, false
		case <-ctx.Done():
			return node.Reply{}, false
		}
	}
}
