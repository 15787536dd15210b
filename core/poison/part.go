package poison

import (
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// minStrikes is the number of upstream processes that must break under a part that
	// no answer was given on until requests with the part are refused.
	minStrikes = 2
	// minStrikesProven replaces minStrikes for a part that answers were given on. The
	// strikes must also be spread over provenSpan: an outage breaks many requests with
	// a common part at once.
	minStrikesProven = 3
	provenSpan       = 500 * time.Millisecond
	// maxStrikes bounds the strikes that are kept for a part.
	maxStrikes = 8
	// firstProbeDelay is the time from the last strike until one request is let through
	// to test a refused part. Each further test waits probeDelayFactor times as long,
	// at most maxProbeDelay: the test of a deadly part costs an upstream.
	firstProbeDelay  = 2 * time.Second
	probeDelayFactor = 10
	maxProbeDelay    = 10 * time.Minute
	// partTTL is how long a suspected part is kept after its last strike, test or
	// refusal.
	partTTL = 10 * time.Minute
)

// strike is the break of a request's connection to an upstream process before its
// answer was under way.
type strike struct {
	// request identifies the request.
	request core.Digest
	at      time.Time
	// cleared is true if an answer was given on the part later.
	cleared bool
}

// suspectPart is a part of prompts with strikes.
type suspectPart struct {
	byProcess map[string]strike
	// probes is the number of tests since the last answer, lastProbe the time of the
	// last one.
	probes    int
	lastProbe time.Time
	// lastStrike is the time of the last strike that isn't cleared.
	lastStrike time.Time
	// lastUsed is the time of the last strike, test or refusal. changedAt is that of the
	// last change by this router, mergedAt that of the last one learned from others.
	lastUsed, changedAt, mergedAt time.Time
	// refused is true while requests with the part are refused: those that also have all
	// of its twins, the refused parts with the same strikes.
	refused bool
	twins   []core.Digest
}

// open returns the processes of the strikes that are neither cleared nor explained, and
// the time between the first and the last of them.
func (p *suspectPart) open(explained map[string]bool) (processes []string, span time.Duration) {
	var first, last time.Time
	for process, s := range p.byProcess {
		if s.cleared || explained[process] {
			continue
		}
		processes = append(processes, process)
		if first.IsZero() || s.at.Before(first) {
			first = s.at
		}
		if s.at.After(last) {
			last = s.at
		}
	}
	return processes, last.Sub(first)
}

// add adds a strike, or merges it with the one of the same process. It reports whether
// that changes anything.
func (p *suspectPart) add(process string, s strike) bool {
	old, known := p.byProcess[process]
	switch {
	case known && (old.cleared || !s.cleared):
		return false
	case known:
		s.at, s.request = old.at, old.request
	case len(p.byProcess) >= maxStrikes && !p.dropCleared():
		return false
	}
	p.byProcess[process] = s
	if !s.cleared && s.at.After(p.lastStrike) {
		p.lastStrike = s.at
	}
	return true
}

// dropCleared drops the oldest of the cleared strikes and reports whether there was one.
func (p *suspectPart) dropCleared() bool {
	oldest, found := "", false
	for process, s := range p.byProcess {
		if s.cleared && (!found || s.at.Before(p.byProcess[oldest].at)) {
			oldest, found = process, true
		}
	}
	delete(p.byProcess, oldest)
	return found
}

// clear clears all strikes and reports whether there were any.
func (p *suspectPart) clear() bool {
	cleared := false
	for process, s := range p.byProcess {
		if !s.cleared {
			s.cleared, cleared = true, true
			p.byProcess[process] = s
		}
	}
	if cleared {
		p.probes = 0
	}
	return cleared
}

// nextProbe returns when the part may be tested. The delay grows with the tests that
// failed, and with those without a result beyond the first.
func (p *suspectPart) nextProbe() time.Time {
	delay := firstProbeDelay
	for tests := max(p.failedProbes(), p.probes-1); tests > 0 && delay < maxProbeDelay; tests-- {
		delay = min(delay*probeDelayFactor, maxProbeDelay)
	}
	if p.lastProbe.After(p.lastStrike) {
		return p.lastProbe.Add(delay)
	}
	return p.lastStrike.Add(delay)
}

// failedProbes returns the number of strikes so long after the first minStrikes that
// their requests were tests.
func (p *suspectPart) failedProbes() int {
	var times []time.Time
	for _, s := range p.byProcess {
		if !s.cleared {
			times = append(times, s.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	failed := 0
	for _, at := range times[min(minStrikes, len(times)):] {
		if at.Sub(times[minStrikes-1]) >= firstProbeDelay {
			failed++
		}
	}
	return failed
}

// sameStrikes reports whether the strikes of two parts that aren't cleared are those of
// the same requests.
func (p *suspectPart) sameStrikes(o *suspectPart) bool {
	own, others := p.openRequests(), o.openRequests()
	return maps.Equal(own, others)
}

// openRequests returns the requests of the strikes that aren't cleared by process.
func (p *suspectPart) openRequests() map[string]core.Digest {
	all := map[string]core.Digest{}
	for process, s := range p.byProcess {
		if !s.cleared {
			all[process] = s.request
		}
	}
	return all
}

// Evidence is what is known of a suspected part, as routers exchange it. Merging it in
// any order and more than once gives the same result.
type Evidence struct {
	Part    core.Digest
	Strikes []Strike
	// Probes is the number of tests since the last answer, ProbeAgeMS the time since
	// the last one in milliseconds.
	Probes     int
	ProbeAgeMS int64
	// UsedAgeMS is the time since the last strike, test or refusal in milliseconds.
	UsedAgeMS int64
}

// Strike is the break of a request's connection to an upstream process before its answer
// was under way.
type Strike struct {
	Process string
	// Request identifies the request.
	Request core.Digest
	// AgeMS is the time since the break in milliseconds.
	AgeMS int64
	// Cleared is true if an answer was given on the part later.
	Cleared bool
}
