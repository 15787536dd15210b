package pace

import (
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// slowRatio is how many times longer than usual each of the last runs at an upstream must
	// have taken for its host to count as slow.
	slowRatio = 2
	// ownRuns is the number of these runs, which began within ownWindow: a single long request
	// or two say nothing.
	ownRuns   = 3
	ownWindow = 600 * time.Millisecond
	// mateRuns is the least number of runs at the other upstreams, within mateWindow, by which
	// is judged what is usual at the moment.
	mateRuns   = 4
	mateWindow = 2 * time.Second
	// maxRuns bounds the runs that are kept.
	maxRuns = 64
)

// Runs notices from how long requests of one kind run at upstreams, which state no pace, that
// one of those has become slow in comparison with the others. The zero value knows nothing.
type Runs struct{ recent []run }

type run struct {
	upstream core.UpstreamID
	took     time.Duration
	at       time.Time
}

// Record adds a run that has just ended. It returns the pace of the upstream's host in
// hundredths, or zero if the runs don't tell.
func (r *Runs) Record(now time.Time, id core.UpstreamID, took time.Duration) (hundredths int) {
	r.recent = slices.DeleteFunc(r.recent, func(old run) bool { return now.Sub(old.at) > mateWindow })
	if len(r.recent) >= maxRuns {
		r.recent = slices.Delete(r.recent, 0, 1)
	}
	r.recent = append(r.recent, run{id, took, now})
	var own, mates []time.Duration
	for _, old := range r.recent {
		switch {
		case old.upstream != id:
			mates = append(mates, old.took)
		case now.Sub(old.at) <= ownWindow:
			own = append(own, old.took)
		}
	}
	if len(own) < ownRuns || len(mates) < mateRuns {
		return 0
	}
	own = own[len(own)-ownRuns:]
	usual := median(mates)
	if usual <= 0 {
		return 0
	}
	switch {
	case slices.Min(own) > slowRatio*usual:
		return int(100 * median(own) / usual)
	case slices.Max(own[ownRuns-2:]) <= slowRatio*usual:
		return 100
	}
	return 0
}

// median returns the middle one of some times.
func median(all []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}
