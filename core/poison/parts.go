package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// maxSuspectParts bounds the suspected parts that are kept.
	maxSuspectParts = 512
	// maxStruckParts bounds the parts of one prompt that are suspected because of a break.
	maxStruckParts = 64
	// maxProvenParts is how many parts that answers were given on are kept for sure.
	maxProvenParts = 16384
	// maxEvidence bounds the parts in one message.
	maxEvidence = 64
	// changeRepeatTime is for how long a change is repeated to other routers, in case
	// messages are lost. What is refused is repeated for as long as that lasts.
	changeRepeatTime = 2 * time.Second
)

// Parts finds the parts of prompts that crash each upstream that begins to answer on
// them, whatever else the prompt holds. A connection that breaks before the answer is
// under way is a strike against the parts of its prompt, and an answer on a part clears
// all strikes against it, since one such answer shows that the part isn't deadly. The
// fewest parts that explain the strikes are refused. The zero value suspects none.
type Parts struct {
	suspects map[core.Digest]*suspectPart
	proven   recentMap[core.Digest, struct{}]
	// noted holds the strikes against parts of long prompts that aren't suspected.
	noted recentMap[core.Digest, []note]
}

// Change is a part from which on requests are refused, or no longer are.
type Change struct {
	Part    core.Digest
	Refused bool
	// Strikes is the number of strikes that aren't cleared.
	Strikes int
}

// Verdict is the decision on a request by the parts of its prompt.
type Verdict struct {
	// Refused is true if the request is refused; otherwise Probe is true if it tests a
	// refused part.
	Refused, Probe bool
	// RetryAfter is the time until the next test of the refused parts.
	RetryAfter time.Duration
}

// Check decides on a request. A request that tests a refused part counts as its test.
func (p *Parts) Check(now time.Time, parts []core.Digest) Verdict {
	refused := p.refusedAmong(parts)
	if len(refused) == 0 {
		return Verdict{}
	}
	var due time.Time
	for _, s := range refused {
		s.lastUsed = now
		if next := s.nextProbe(); next.After(due) {
			due = next
		}
	}
	if due.After(now) {
		return Verdict{Refused: true, RetryAfter: due.Sub(now)}
	}
	for _, s := range refused {
		s.probes++
		s.lastProbe, s.changedAt = now, now
	}
	return Verdict{Probe: true}
}

// refusedAmong returns the refused parts of a prompt. A part without one of its twins
// isn't refused: the strikes against both may be due to the other one, which the request
// will show.
func (p *Parts) refusedAmong(parts []core.Digest) map[core.Digest]*suspectPart {
	refused := map[core.Digest]*suspectPart{}
	for _, id := range parts {
		s := p.suspects[id]
		if s == nil || !s.refused {
			continue
		}
		missing := slices.ContainsFunc(s.twins, func(twin core.Digest) bool { return !slices.Contains(parts, twin) })
		if !missing {
			refused[id] = s
		}
	}
	return refused
}

// BreakEffects are the effects of a broken connection.
type BreakEffects struct {
	// Urgent are the parts that other routers have to be told of at once: those that no answer
	// was given on. Prompt is to be told if the prompt is long; nil otherwise.
	Urgent []core.Digest
	Prompt *BrokenPrompt
	// Changes are the parts that are refused from now on, or no longer are.
	Changes []Change
}

// RecordBreak records that the connection of a request to an upstream process broke
// before the answer was under way. The strike is against the refused parts of the
// prompt if there are any, else against those that no answer was given on, else against
// all.
func (p *Parts) RecordBreak(now time.Time, parts []core.Digest, request core.Digest, process string) BreakEffects {
	var e BreakEffects
	n := note{strike: strike{request: request, at: now}, process: process}
	blamed := p.blamed(parts)
	if len(blamed) > maxStruckParts {
		e.Prompt = &BrokenPrompt{Process: process, Request: request, Parts: blamed[:min(len(blamed), maxPromptParts)]}
		blamed = p.suspectsAmong(blamed, n)
	}
	for _, id := range blamed {
		s := p.suspect(now, id)
		s.lastUsed = now
		if !s.add(process, n.strike) {
			continue
		}
		s.changedAt = now
		if !p.proven.has(id) {
			e.Urgent = append(e.Urgent, id)
		}
	}
	e.Changes = p.update()
	return e
}

// blamed returns the parts of a prompt that a break is a strike against.
func (p *Parts) blamed(parts []core.Digest) []core.Digest {
	refused := func(id core.Digest) bool { return p.suspects[id] != nil && p.suspects[id].refused }
	unproven := func(id core.Digest) bool { return !p.proven.has(id) }
	for _, matches := range []func(core.Digest) bool{refused, unproven} {
		if slices.ContainsFunc(parts, matches) {
			parts = slices.DeleteFunc(slices.Clone(parts), func(id core.Digest) bool { return !matches(id) })
			break
		}
	}
	return parts
}

// RecordAnswer records that an answer on the parts is under way.
func (p *Parts) RecordAnswer(now time.Time, parts []core.Digest) []Change {
	cleared := false
	for _, id := range parts {
		p.Prove(id)
		if s := p.suspects[id]; s != nil && s.clear() {
			s.changedAt, cleared = now, true
		}
	}
	if !cleared {
		return nil
	}
	return p.update()
}

// Prove records that an answer was given on a part some time ago.
func (p *Parts) Prove(part core.Digest) {
	p.proven.put(part, struct{}{}, maxProvenParts)
	p.noted.remove(part)
}

// suspect returns a suspected part, creating it on first use. If there are too many, the
// one that was used the longest ago is dropped.
func (p *Parts) suspect(now time.Time, id core.Digest) *suspectPart {
	if s := p.suspects[id]; s != nil {
		return s
	}
	if p.suspects == nil {
		p.suspects = map[core.Digest]*suspectPart{}
	}
	if len(p.suspects) >= maxSuspectParts {
		delete(p.suspects, p.leastUsed())
	}
	s := &suspectPart{byProcess: map[string]strike{}, lastUsed: now}
	notes, _ := p.noted.get(id)
	for _, n := range notes {
		if now.Sub(n.at) <= partTTL {
			s.add(n.process, n.strike)
		}
	}
	p.noted.remove(id)
	p.suspects[id] = s
	return s
}

// leastUsed returns the suspected part that was used the longest ago, refused ones last.
func (p *Parts) leastUsed() core.Digest {
	return slices.MinFunc(slices.Collect(maps.Keys(p.suspects)), func(a, b core.Digest) int {
		if sa, sb := p.suspects[a], p.suspects[b]; sa.refused != sb.refused {
			return cmp.Compare(boolInt(sa.refused), boolInt(sb.refused))
		}
		return p.suspects[a].lastUsed.Compare(p.suspects[b].lastUsed)
	})
}

// update decides anew which parts are refused, and returns the changes: those with the
// most strikes, and then those with strikes that these don't explain. Parts with the
// same number of strikes don't explain each other's, unless only one was answered on.
func (p *Parts) update() []Change {
	type candidate struct {
		id      core.Digest
		strikes int
		proven  bool
	}
	var all []candidate
	for id, s := range p.suspects {
		if processes, _ := s.open(nil); len(processes) >= minStrikes || s.refused {
			all = append(all, candidate{id, len(processes), p.proven.has(id)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.strikes, a.strikes), cmp.Compare(boolInt(a.proven), boolInt(b.proven)), cmp.Compare(a.id, b.id))
	})
	var changes []Change
	explained, byEqual := map[string]bool{}, map[string]bool{}
	for i, c := range all {
		if i > 0 && (c.strikes != all[i-1].strikes || c.proven != all[i-1].proven) {
			maps.Copy(explained, byEqual)
		}
		s := p.suspects[c.id]
		processes, span := s.open(explained)
		refused := len(processes) >= minStrikes
		if c.proven {
			refused = len(processes) >= minStrikesProven && span >= provenSpan
		}
		if refused {
			for _, process := range processes {
				byEqual[process] = true
			}
		}
		if refused != s.refused {
			s.refused = refused
			changes = append(changes, Change{Part: c.id, Refused: refused, Strikes: c.strikes})
		}
	}
	p.findTwins()
	return changes
}

// findTwins sets the twins of the refused parts.
func (p *Parts) findTwins() {
	refused := p.Refused()
	for _, id := range refused {
		s := p.suspects[id]
		s.twins = slices.DeleteFunc(slices.Clone(refused), func(other core.Digest) bool {
			return other == id || !s.sameStrikes(p.suspects[other])
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Refused returns the refused parts in ascending order.
func (p *Parts) Refused() []core.Digest {
	var all []core.Digest
	for id, s := range p.suspects {
		if s.refused {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}
