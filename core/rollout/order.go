// Package rollout decides on the roll-out of a new release of a pool's upstreams: which
// requests try it, whether it is worse than the old one, and when the requests move over.
package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
)

// Order is an operator's order to move a pool to a release.
type Order struct {
	Pool   core.Pool
	Target string
	// Duration is the time within which the roll-out has to end.
	Duration time.Duration
	// Offset and Era identify the record of the order in the store.
	Offset, Era uint64
	// Invalid is the reason for which the order can't be carried out; empty if it can.
	Invalid string
}

// Compare orders the orders of a pool by the time at which they were written.
func (o Order) Compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Era, other.Era), cmp.Compare(o.Offset, other.Offset))
}

// Repeats reports whether the order asks for the same as another one, as a record that was
// written twice does.
func (o Order) Repeats(other Order) bool {
	return o.Pool == other.Pool && o.Target == other.Target && o.Duration == other.Duration && o.Invalid == other.Invalid
}

// Limits are the settings that bound a roll-out.
type Limits struct {
	// Share is the largest fraction of a pool's requests that a bad release may get between
	// the order and its deadline. Zero means that roll-outs are not configured.
	Share float64
	// Slack is the number of requests that it may get besides.
	Slack float64
	// Revert is the time after its 50th bad answer from which it gets no requests.
	Revert time.Duration
}

// minTrialUpstreams is the least number of upstreams in a trial: with fewer, one bad upstream
// can't be told from a bad release.
const minTrialUpstreams = 3

// TrialUpstreams returns the upstreams of the new release that take part in the trial. They
// are as many as have, with the share of the requests, about the load that each would have
// after the roll-out, and the same at all routers.
func TrialUpstreams(o Order, target []core.UpstreamID, old int, share float64) []core.UpstreamID {
	key := chat.Key("rollout", string(o.Pool)+" "+o.Target+" "+strconv.FormatUint(o.Offset, 10), nil)
	chosen := slices.SortedFunc(slices.Values(target), func(a, b core.UpstreamID) int {
		return cmp.Or(cmp.Compare(chat.Score(key, string(b)), chat.Score(key, string(a))), cmp.Compare(a, b))
	})
	return chosen[:min(max(minTrialUpstreams, int(share*float64(old))), len(chosen))]
}

// turnTime is for how long a part of the trial's upstreams gets its requests.
const turnTime = time.Second

// Turn returns those of the trial's upstreams that get its requests now: no more than the share
// of the old ones, at least one. Each thus has, in turn, the load that it would have after the
// roll-out, so that faults under load show in small pools, too. If none of them can take a
// request, any other one of the trial may. age is the time since the order.
func Turn(trial []core.UpstreamID, age time.Duration, old int, share float64) []core.UpstreamID {
	n := max(int(share*float64(old)), 1)
	if n >= len(trial) {
		return trial
	}
	turn := int(max(age, 0)/turnTime) * n
	chosen := make([]core.UpstreamID, 0, n)
	for i := range n {
		chosen = append(chosen, trial[(turn+i)%len(trial)])
	}
	return chosen
}
