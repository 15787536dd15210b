package rollout

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
	// Completed and RolledBack are final.
	Completed
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

// Merge returns which of two states of a pool's roll-out holds.
func (s State) Merge(other State) State {
	return s
}
