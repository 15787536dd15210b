package exchange

import (
	"context"

	"camphorpulley.org/core"
	"camphorpulley.org/core/order"
)

// OpenOnce runs a request that may run at most once, or returns what is known
// of an earlier run.
func (s *Server) OpenOnce(ctx context.Context, c *Call) (*Answer, *core.Refusal) {
	claim, decision := s.Orders.Claim(ctx, order.NewKey(c.Account.Name, c.OnceKey), c.Content)
	switch decision.Step {
	case order.Run:
		return s.runClaimed(ctx, c, claim)
	case order.Replay:
		r := decision.Result
		return &Answer{
			Status: r.Status, ContentType: r.ContentType, Length: len(r.Body), Body: r.Body, Kept: true, Replayed: true,
		}, nil
	default:
		return nil, decision.Refusal
	}
}

// runClaimed runs a request whose claim has won. The claim is voided only if
// no byte of the request was handed to a connection.
func (s *Server) runClaimed(ctx context.Context, c *Call, claim order.Claim) (*Answer, *core.Refusal) {
	a, refusal := s.Open(ctx, c)
	if refusal != nil {
		if refusal.Certainty == core.NotRun {
			s.Orders.Void(claim)
		}
		return nil, refusal
	}
	s.Orders.Finish(claim, order.NewResult(a.Status, a.ContentType, a.Body, a.Kept))
	return a, nil
}
