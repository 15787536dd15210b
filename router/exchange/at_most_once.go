package exchange

import (
	"context"

	"camphorpulley.org/core"
	"camphorpulley.org/core/order"
)

// ForwardAtMostOnce forwards a request that may run at most once. It first
// claims the idempotency key, and replays the recorded result or refuses if an
// earlier request holds the key.
func (f *Forwarder) ForwardAtMostOnce(ctx context.Context, c *Call) (*Response, *core.Refusal) {
	claim, decision := f.Orders.Claim(ctx, order.NewKey(c.Account.Name, c.IdempotencyKey), c.ContentDigest)
	switch decision.Step {
	case order.Run:
		return f.forwardClaimed(ctx, c, claim)
	case order.Replay:
		r := decision.Result
		return &Response{
			Status: r.Status, ContentType: r.ContentType, Length: len(r.Body), Body: r.Body, Complete: true, Replayed: true,
		}, nil
	default:
		return nil, decision.Refusal
	}
}

// forwardClaimed forwards a request that holds the claim on its key, and
// records the result. It voids the claim only if the request certainly did not
// run: each attempt either sent no byte or was declined by its upstream.
func (f *Forwarder) forwardClaimed(ctx context.Context, c *Call, claim order.Claim) (*Response, *core.Refusal) {
	resp, refusal := f.Forward(ctx, c)
	if refusal != nil {
		if refusal.Certainty == core.NotRun {
			f.Orders.Void(claim)
		}
		return nil, refusal
	}
	f.Orders.Finish(claim, order.NewResult(resp.Status, resp.ContentType, resp.Body, resp.Complete))
	return resp, nil
}
