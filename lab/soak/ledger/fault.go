package ledger

import (
	"slices"
	"time"
)

// Fault is a fault, or planned work, that affects a component.
type Fault struct {
	Component string
	Planned   bool
	// Reachable is true if routers reach the component all the while: it fails by what it
	// does with requests.
	Reachable bool
	from, to  time.Time
	active    bool
}

// StoreComponent and AllComponents are the components whose faults affect all
// routers.
const (
	StoreComponent = "store"
	AllComponents  = "all"
)

// BeginFault records the start of a fault and returns the function that records its end.
func (l *Ledger) BeginFault(now time.Time, f Fault) func(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.from, f.active = now, true
	l.faults = append(l.faults, f)
	i := len(l.faults) - 1
	return func(now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.faults[i].to, l.faults[i].active = now, false
	}
}

// overlaps reports whether the fault was active between two times.
func (f Fault) overlaps(from, to time.Time) bool {
	return !f.from.After(to) && (f.active || !f.to.Before(from))
}

// affects reports whether the fault is one of any of the components.
func (f Fault) affects(components ...string) bool {
	return f.Component == AllComponents || slices.Contains(components, f.Component)
}

// noFault reports whether no fault, planned or not, affected any of the
// components between two times.
func (l *Ledger) noFault(from, to time.Time, components ...string) bool {
	return !slices.ContainsFunc(l.faults, func(f Fault) bool { return f.overlaps(from, to) && f.affects(components...) })
}

// inTouch reports whether no fault between two times kept a router from running or from
// reaching a runner.
func (l *Ledger) inTouch(from, to time.Time, router, runner string) bool {
	return !slices.ContainsFunc(l.faults, func(f Fault) bool {
		return !f.Reachable && f.overlaps(from, to) && f.affects(router, runner)
	})
}

// NoUnplannedFault reports whether no fault other than planned work was active
// in any component between two times.
func (l *Ledger) NoUnplannedFault(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.faults, func(f Fault) bool { return !f.Planned && f.overlaps(from, to) })
}
