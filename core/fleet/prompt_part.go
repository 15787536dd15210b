package fleet

import (
	"math"
	"net/http"
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/table"
)

// PartEvidence tells the other routers at once which parts of prompts may crash
// upstreams. Heartbeats and digests repeat it.
type PartEvidence struct {
	Parts []poison.Evidence
	// Prompts are broken prompts with many parts.
	Prompts []poison.BrokenPrompt
}

// PartEffects are the effects of an observation on the parts of a prompt.
type PartEffects struct {
	// Notify is a message for all other routers; nil if there is none.
	Notify *Message
	// Changes are the parts from which on requests are refused, or no longer are.
	Changes []poison.Change
}

// sharedPartIDs returns the ids of the parts that other requests may share.
func (r Request) sharedPartIDs() []core.Digest {
	return lo.Map(r.SharedParts, func(p prefix.Part, _ int) core.Digest { return p.ID })
}

// CheckParts refuses a request if a part of its prompt crashes the upstreams that answer
// on it. A request that is let through to test such a part is reported as a probe.
func (f *Fleet) CheckParts(now time.Time, r Request) (probe bool, refusal *core.Refusal, e PartEffects) {
	if len(r.SharedParts) == 0 {
		return false, nil, e
	}
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		v := s.parts.Check(now, r.sharedPartIDs())
		if probe = v.Probe; probe {
			e.Notify = evidenceMessage(s.parts.EvidenceOf(now, s.parts.Refused()))
		}
		if v.Refused {
			refusal = notRunRefusal(http.StatusServiceUnavailable, codeDeadlyPart, "a part of the prompt crashes the upstreams that answer on it")
			refusal.RetryAfter = time.Duration(math.Ceil(v.RetryAfter.Seconds())) * time.Second
		}
	})
	return probe, refusal, e
}

// RecordBreak records that the connection of an attempt broke before its answer was
// under way.
func (f *Fleet) RecordBreak(now time.Time, r Request, t Target) PartEffects {
	var e PartEffects
	if len(r.SharedParts) == 0 {
		return e
	}
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		b := s.parts.RecordBreak(now, r.sharedPartIDs(), r.draw, processName(t.Entry))
		e.Changes = b.Changes
		e.Notify = evidenceMessage(s.parts.EvidenceOf(now, append(changedParts(e.Changes), b.Urgent...)))
		if b.Prompt == nil {
			return
		}
		if e.Notify == nil {
			e.Notify = &Message{PartEvidence: &PartEvidence{}}
		}
		e.Notify.PartEvidence.Prompts = []poison.BrokenPrompt{*b.Prompt}
	})
	return e
}

// RecordAnswer records that the answer to a request is under way.
func (f *Fleet) RecordAnswer(now time.Time, r Request) PartEffects {
	var e PartEffects
	if len(r.SharedParts) == 0 {
		return e
	}
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		e.Changes = s.parts.RecordAnswer(now, r.sharedPartIDs())
		e.Notify = evidenceMessage(s.parts.EvidenceOf(now, changedParts(e.Changes)))
	})
	return e
}

// RefusedParts returns the number of parts under which requests are refused.
func (f *Fleet) RefusedParts() int { return len(f.refusedParts()) }

// refusedParts returns the parts under which requests are refused.
func (f *Fleet) refusedParts() []core.Digest {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []core.Digest { return s.parts.Refused() })
}

// ExpireParts drops the suspected parts that were not used for long.
func (f *Fleet) ExpireParts(now time.Time) []poison.Change {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []poison.Change { return s.parts.Expire(now) })
}

// partEvidence returns what routers in other data centres have to know, or local ones
// have to know of those.
func (f *Fleet) partEvidence(now time.Time) []poison.Evidence {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []poison.Evidence { return s.parts.Evidence(now, true) })
}

// mergeEvidence adds what another router knows of parts.
func (f *Fleet) mergeEvidence(now time.Time, all []poison.Evidence) []poison.Change {
	if len(all) == 0 {
		return nil
	}
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []poison.Change { return s.parts.Merge(now, all) })
}

// mergePrompts adds the broken prompts with many parts that another router has seen.
func (f *Fleet) mergePrompts(now time.Time, all []poison.BrokenPrompt) []poison.Change {
	if len(all) == 0 {
		return nil
	}
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) []poison.Change { return s.parts.MergePrompts(now, all) })
}

// proveParts records parts that engines of other routers' requests have answered on.
// Inventories are left out: an engine reports parts that it has merely read.
func (f *Fleet) proveParts(all []prefix.CachedPart) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		for _, c := range all {
			if !c.FromInventory {
				s.parts.Prove(c.Part.ID)
			}
		}
	})
}

// evidenceMessage returns a message with evidence; nil if there is none.
func evidenceMessage(all []poison.Evidence) *Message {
	if len(all) == 0 {
		return nil
	}
	return &Message{PartEvidence: &PartEvidence{Parts: all}}
}

func changedParts(all []poison.Change) []core.Digest {
	return lo.Map(all, func(c poison.Change, _ int) core.Digest { return c.Part })
}
