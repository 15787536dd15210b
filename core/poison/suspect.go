// Package poison holds the requests that were running when upstreams crashed.
package poison

import (
	"time"

	"camphorpulley.org/core"
)

const (
	// Strikes is the number of crashes after which a request is refused.
	Strikes = 2
	// Sentence is how long a request is refused or suspected.
	Sentence = 10 * time.Minute
)

// Suspect is a request that was running during a crash.
type Suspect struct {
	// Crashes names the upstream processes that crashed.
	Crashes map[string]bool
	Last    time.Time
}

// Suspects is the table of suspects by the digest of their content. The zero
// value has none.
type Suspects struct {
	byDigest map[core.Digest]*Suspect
}

// Crash records that a request was running when a process crashed. The same
// crash reported twice counts once. It returns the number of crashes.
func (s *Suspects) Crash(now time.Time, d core.Digest, process string) int {
	if s.byDigest == nil {
		s.byDigest = map[core.Digest]*Suspect{}
	}
	suspect := s.byDigest[d]
	if suspect == nil {
		suspect = &Suspect{Crashes: map[string]bool{}}
		s.byDigest[d] = suspect
	}
	suspect.Crashes[process] = true
	suspect.Last = now
	return len(suspect.Crashes)
}

// Clear removes a request that has run to its end.
func (s *Suspects) Clear(d core.Digest) {
	delete(s.byDigest, d)
}

// Refused reports whether a request has crashed too many upstreams.
func (s *Suspects) Refused(now time.Time, d core.Digest) bool {
	suspect := s.byDigest[d]
	if suspect == nil {
		return false
	}
	if now.Sub(suspect.Last) > Sentence {
		delete(s.byDigest, d)
		return false
	}
	return len(suspect.Crashes) >= Strikes
}

// Suspected reports whether a request was running during a crash and has not
// cleared itself since.
func (s *Suspects) Suspected(d core.Digest) bool {
	return s.byDigest[d] != nil
}
