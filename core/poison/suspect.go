// Package poison detects poison requests: those that crash upstreams. It keeps the
// suspects, which are the requests that were running during a crash.
package poison

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 2
	// SuspectTTL is how long after its last crash a request is refused.
	SuspectTTL = 10 * time.Minute
	// maxSuspects bounds the suspects that are kept: an outage of many upstreams leaves one for
	// each request that ran.
	maxSuspects = 4096
)

// Suspect is a request that was running during a crash.
type Suspect struct {
	// CrashedProcesses is the set of the upstream processes that crashed.
	CrashedProcesses map[string]bool
	// Last is when the last crash was first reported.
	Last time.Time
}

// Suspects is the table of suspects by the digest of their content. The zero value
// is empty.
type Suspects struct {
	byDigest map[core.Digest]*Suspect
}

// RecordCrash records that a request was running when an upstream process crashed,
// and returns the number of crashes of the request. A crash that is reported twice
// counts once, at the time of its first report.
func (s *Suspects) RecordCrash(now time.Time, d core.Digest, process string) int {
	suspect := s.suspect(now, d)
	suspect.add(now, process)
	return len(suspect.CrashedProcesses)
}

// suspect returns a suspect, creating it on first use or after SuspectTTL. If there are too many,
// the one that matters the least is dropped.
func (s *Suspects) suspect(now time.Time, d core.Digest) *Suspect {
	if suspect := s.byDigest[d]; suspect != nil && now.Sub(suspect.Last) <= SuspectTTL {
		return suspect
	}
	if s.byDigest == nil {
		s.byDigest = map[core.Digest]*Suspect{}
	}
	if _, known := s.byDigest[d]; !known && len(s.byDigest) >= maxSuspects {
		delete(s.byDigest, slices.MaxFunc(slices.Collect(maps.Keys(s.byDigest)), s.compare))
	}
	suspect := &Suspect{CrashedProcesses: map[string]bool{}}
	s.byDigest[d] = suspect
	return suspect
}

// add adds a crash at a time unless it is known.
func (p *Suspect) add(at time.Time, process string) {
	if p.CrashedProcesses[process] {
		return
	}
	p.CrashedProcesses[process] = true
	if at.After(p.Last) {
		p.Last = at
	}
}

// Withdraw removes a crash that wasn't one: the process lives.
func (s *Suspects) Withdraw(process string) {
	for d, suspect := range s.byDigest {
		if delete(suspect.CrashedProcesses, process); len(suspect.CrashedProcesses) == 0 {
			delete(s.byDigest, d)
		}
	}
}

// Clear removes a request that has completed.
func (s *Suspects) Clear(d core.Digest) {
	delete(s.byDigest, d)
}

// Refused reports whether a request was running during MaxCrashes or more crashes,
// the last of them within SuspectTTL. It drops an older suspect.
func (s *Suspects) Refused(now time.Time, d core.Digest) bool {
	suspect := s.byDigest[d]
	if suspect == nil {
		return false
	}
	if now.Sub(suspect.Last) > SuspectTTL {
		delete(s.byDigest, d)
		return false
	}
	return len(suspect.CrashedProcesses) >= MaxCrashes
}

// Suspected reports whether a request was running during a crash and was not
// cleared since.
func (s *Suspects) Suspected(d core.Digest) bool {
	return s.byDigest[d] != nil
}
