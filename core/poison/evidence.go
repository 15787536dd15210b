package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Expire drops the suspected parts that were not used for partTTL.
func (p *Parts) Expire(now time.Time) []Change {
	var changes []Change
	for id, s := range p.suspects {
		if now.Sub(s.lastUsed) <= partTTL {
			continue
		}
		delete(p.suspects, id)
		if s.refused {
			changes = append(changes, Change{Part: id})
		}
	}
	if len(changes) == 0 {
		return nil
	}
	return append(changes, p.update()...)
}

// Evidence returns what other routers have to know: the refused parts first, then those
// that this router has changed recently, and if merged also those that others have.
func (p *Parts) Evidence(now time.Time, merged bool) []Evidence {
	var ids []core.Digest
	for id, s := range p.suspects {
		if s.refused || now.Sub(s.changedAt) < changeRepeatTime || (merged && now.Sub(s.mergedAt) < changeRepeatTime) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b core.Digest) int {
		sa, sb := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(boolInt(sb.refused), boolInt(sa.refused)), sb.changedAt.Compare(sa.changedAt), cmp.Compare(a, b))
	})
	return p.EvidenceOf(now, ids[:min(len(ids), maxEvidence)])
}

// EvidenceOf returns what is known of suspected parts.
func (p *Parts) EvidenceOf(now time.Time, ids []core.Digest) []Evidence {
	all := make([]Evidence, 0, len(ids))
	for _, id := range ids {
		if s := p.suspects[id]; s != nil {
			all = append(all, s.evidence(now, id))
		}
	}
	return all
}

// evidence returns what is known of the part.
func (p *suspectPart) evidence(now time.Time, id core.Digest) Evidence {
	e := Evidence{Part: id, Probes: p.probes, UsedAgeMS: now.Sub(p.lastUsed).Milliseconds()}
	if p.probes > 0 {
		e.ProbeAgeMS = now.Sub(p.lastProbe).Milliseconds()
	}
	for _, process := range slices.Sorted(maps.Keys(p.byProcess)) {
		s := p.byProcess[process]
		e.Strikes = append(e.Strikes, Strike{Process: process, Request: s.request, AgeMS: now.Sub(s.at).Milliseconds(), Cleared: s.cleared})
	}
	return e
}

// Merge adds what other routers know. It returns the parts that are refused from now on,
// or no longer are.
func (p *Parts) Merge(now time.Time, all []Evidence) []Change {
	changed := false
	for _, e := range all[:min(len(all), maxEvidence)] {
		usedAt := ago(now, e.UsedAgeMS)
		if now.Sub(usedAt) > partTTL {
			continue
		}
		s := p.suspect(usedAt, e.Part)
		for _, st := range e.Strikes {
			if s.add(st.Process, strike{request: st.Request, at: ago(now, st.AgeMS), cleared: st.Cleared}) {
				s.mergedAt, changed = now, true
			}
		}
		if usedAt.After(s.lastUsed) {
			s.lastUsed = usedAt
		}
		if open, _ := s.open(nil); len(open) == 0 {
			s.probes = 0
			continue
		}
		if e.Probes > s.probes {
			s.probes, s.lastProbe, s.mergedAt = e.Probes, ago(now, e.ProbeAgeMS), now
		}
	}
	if !changed {
		return nil
	}
	return p.update()
}

// ago returns the time a number of milliseconds ago. A negative one counts as zero, one of
// more than twice partTTL as that.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(min(max(ms, 0), 2*partTTL.Milliseconds())) * time.Millisecond)
}
