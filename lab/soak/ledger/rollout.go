package ledger

import "time"

// The bounds on a bad release, as the users' documentation gives them.
const (
	// ExposeShare of the requests to the pool since the order, and ExposeSlack, may go to a bad
	// release.
	ExposeShare = 0.1
	ExposeSlack = 50
	// RollbackTime is how long after its bad answer number MaxBadAnswers a bad release may get
	// requests, UnstableTime how much longer if the store was unstable.
	RollbackTime  = 5 * time.Second
	UnstableTime  = 6 * time.Second
	MaxBadAnswers = 50
)

// Rollout is an order to move a pool to a release.
type Rollout struct {
	Pool, Target string
	// Bad is true if the release is bad.
	Bad       bool
	OrderedAt time.Time
	Duration  time.Duration
	// requests holds the requests that ran in the pool, exposed counts the runs at the new
	// release, badAnswers its bad answers.
	requests            map[string]bool
	exposed, badAnswers int
	// badAt is when the bad answer number MaxBadAnswers was given.
	badAt           time.Time
	overShare, late bool
}

// BeginRollout records that an order was written.
func (l *Ledger) BeginRollout(r Rollout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.requests = map[string]bool{}
	l.rollout = &r
}

// RecordBadAnswer records a bad answer of a release.
func (l *Ledger) RecordBadAnswer(now time.Time, pool, release string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.rollout
	if o == nil || o.Pool != pool || o.Target != release {
		return
	}
	if o.badAnswers++; o.badAnswers == MaxBadAnswers {
		o.badAt = now
	}
}

// Exposed returns how many requests have run at the new release, and how many may have.
func (l *Ledger) Exposed() (exposed int, most float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rollout.exposed, l.rollout.most()
}

func (o *Rollout) most() float64 { return ExposeShare*float64(len(o.requests)) + ExposeSlack }

// checkExposure checks that a bad release gets few requests, and none too late.
func (l *Ledger) checkExposure(r Run, q *Request) {
	o := l.rollout
	if o == nil || o.Pool != r.Pool || r.At.Sub(o.OrderedAt) > o.Duration {
		return
	}
	o.requests[r.ID] = true
	if r.Release != o.Target {
		return
	}
	o.exposed++
	if !o.Bad {
		return
	}
	if float64(o.exposed) > o.most() && !o.overShare {
		o.overShare = true
		l.addViolation(r.At, "exposure", "request %s is number %d of %d at the bad release %s, want at most %g", r.ID, o.exposed, len(o.requests), o.Target, o.most())
	}
	limit := RollbackTime
	if !l.noFault(o.OrderedAt, r.At, StoreComponent) {
		limit += UnstableTime
	}
	if !o.badAt.IsZero() && q.SentAt.Sub(o.badAt) > limit && !o.late {
		o.late = true
		l.addViolation(r.At, "rollback", "request %s was sent to the bad release %s %s after its bad answer %d, want at most %s",
			r.ID, o.Target, q.SentAt.Sub(o.badAt), MaxBadAnswers, limit)
	}
}
