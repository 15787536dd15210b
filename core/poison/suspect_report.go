package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// maxReports bounds the suspects in one message, maxReportedProcesses the crashes of each.
	maxReports           = 256
	maxReportedProcesses = 8
)

// SuspectReport is what is known of a suspect, as routers exchange it.
type SuspectReport struct {
	Content core.Digest
	// Processes are the upstream processes that crashed.
	Processes []string
	// LeftMS is the time until the suspect is forgotten in milliseconds.
	LeftMS int64
}

// Reports returns what a router has to know that has started: the refused suspects first, then
// those with the latest crashes.
func (s *Suspects) Reports(now time.Time) []SuspectReport {
	var all []SuspectReport
	for _, d := range slices.SortedFunc(maps.Keys(s.byDigest), s.compare) {
		suspect := s.byDigest[d]
		left := SuspectTTL - now.Sub(suspect.Last)
		if left <= 0 {
			continue
		}
		if len(all) >= maxReports {
			break
		}
		processes := slices.Sorted(maps.Keys(suspect.CrashedProcesses))
		all = append(all, SuspectReport{
			Content: d, Processes: processes[:min(len(processes), maxReportedProcesses)], LeftMS: left.Milliseconds(),
		})
	}
	return all
}

// compare orders suspects by how much they matter: refused ones come first, then those with the
// latest crashes.
func (s *Suspects) compare(a, b core.Digest) int {
	sa, sb := s.byDigest[a], s.byDigest[b]
	refused := func(p *Suspect) int { return boolInt(len(p.CrashedProcesses) >= MaxCrashes) }
	return cmp.Or(cmp.Compare(refused(sb), refused(sa)), sb.Last.Compare(sa.Last), cmp.Compare(a, b))
}

// Merge adds what another router knew some time ago. A crash that is known isn't renewed, so that
// routers that tell each other in turn keep no suspect for longer than SuspectTTL.
func (s *Suspects) Merge(now time.Time, all []SuspectReport, ago time.Duration) {
	for _, r := range all[:min(len(all), maxReports)] {
		left := time.Duration(min(max(r.LeftMS, 0), SuspectTTL.Milliseconds()))*time.Millisecond - max(ago, 0)
		if left <= 0 || len(r.Processes) == 0 {
			continue
		}
		suspect := s.suspect(now, r.Content)
		for _, process := range r.Processes[:min(len(r.Processes), maxReportedProcesses)] {
			suspect.add(now.Add(left-SuspectTTL), process)
		}
	}
}
