package rollout

import "cmp"

// Stage is how far a roll-out has come.
type Stage int

const (
	// None means that nothing has been decided.
	None Stage = iota
	// Trying is the trial: a small share of the requests goes to the new release.
	Trying
	// Moving means that the requests move over to the new release in steps.
	Moving
	// Settling means that all requests go to the new release while the old one ends those
	// that it has.
	Settling
	// Completed is final: the old upstreams may be stopped.
	Completed
	// RolledBack is final: the new release gets nothing any more.
	RolledBack
)

var stageNames = [...]string{"none", "trial", "moving", "settling", "completed", "rolled_back"}

func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "unknown"
	}
	return stageNames[s]
}

// Final reports whether the roll-out has ended.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// State is what the conductor of a roll-out tells all routers.
type State struct {
	Order Order
	Stage Stage
	// Share is the fraction of the requests that go to the new release while Moving.
	Share float64
	// Sequence rises with each change of Stage or Share.
	Sequence uint64
	// AgeMS is the time since the order in milliseconds.
	AgeMS int64
	// ChangedMS is AgeMS at the last change of Stage or Share.
	ChangedMS int64
	// Reason is why the roll-out ended, or has come to its stage.
	Reason string
	// Written is true if the final status is in the store.
	Written bool
}

// Merge returns which of two states of a pool's roll-out holds. The later order goes before the
// earlier one. Of one order, what is in the store goes before all else, rolling back before what
// isn't in the store, and otherwise the state with more changes. The result doesn't depend on the
// sequence in which states are merged.
func (s State) Merge(other State) State {
	if c := s.Order.Compare(other.Order); c != 0 {
		if c < 0 {
			return other
		}
		return s
	}
	merged := s
	if other.outranks(s) {
		merged = other
	}
	// The older age ends the roll-out earlier, which is the safe side.
	merged.AgeMS = max(s.AgeMS, other.AgeMS)
	return merged
}

// outranks reports whether the state goes before another one of the same order.
func (s State) outranks(other State) bool {
	return cmp.Or(
		compareBool(s.Written && s.Stage.Final(), other.Written && other.Stage.Final()),
		compareBool(s.Stage == RolledBack, other.Stage == RolledBack),
		compareBool(s.Stage == Completed, other.Stage == Completed),
		cmp.Compare(s.Sequence, other.Sequence),
		// Two conductors have made as many changes: fewer requests to the new release hold.
		cmp.Compare(other.Stage, s.Stage),
		cmp.Compare(other.Share, s.Share),
		cmp.Compare(s.ChangedMS, other.ChangedMS),
		cmp.Compare(s.Reason, other.Reason),
	) > 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
