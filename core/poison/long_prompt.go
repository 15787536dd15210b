package poison

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// maxNotedParts is how many parts of long prompts with one strike are kept for sure.
	maxNotedParts = 8192
	// maxNotes bounds the strikes that are kept for one of them.
	maxNotes = 4
	// maxPromptParts bounds the parts of one prompt in a message, maxPrompts the prompts.
	maxPromptParts = 4096
	maxPrompts     = 4
)

// BrokenPrompt states that the connection of a request with a long prompt broke, as routers
// exchange it: Evidence of so many parts would be too large.
type BrokenPrompt struct {
	Process string
	// Request identifies the request, Parts are those that the break is a strike against.
	Request core.Digest
	Parts   []core.Digest
	// AgeMS is the time since the break in milliseconds.
	AgeMS int64
}

// note is a strike against a part that isn't suspected yet.
type note struct {
	strike
	process string
}

// suspectsAmong returns the parts of a long prompt that are suspected because of a strike. A break
// says little against each of many parts, and most of them belong to this request or chat alone:
// the strike is noted, and those parts are suspected that other requests have a strike against, the
// ones with the most strikes first.
func (p *Parts) suspectsAmong(parts []core.Digest, n note) []core.Digest {
	type common struct {
		id      core.Digest
		strikes int
	}
	var all []common
	for _, id := range parts {
		if s := p.suspects[id]; s != nil {
			all = append(all, common{id, len(s.byProcess)})
			continue
		}
		notes, _ := p.noted.get(id)
		if slices.ContainsFunc(notes, func(o note) bool { return o.request != n.request && n.at.Sub(o.at) <= partTTL }) {
			all = append(all, common{id, len(notes)})
			continue
		}
		p.note(id, notes, n)
	}
	slices.SortStableFunc(all, func(a, b common) int { return cmp.Compare(b.strikes, a.strikes) })
	var suspects []core.Digest
	for i, c := range all {
		if i < maxStruckParts {
			suspects = append(suspects, c.id)
		} else if notes, _ := p.noted.get(c.id); p.suspects[c.id] == nil {
			p.note(c.id, notes, n)
		}
	}
	return suspects
}

// note adds a strike to those of a part that isn't suspected.
func (p *Parts) note(id core.Digest, notes []note, n note) {
	if len(notes) < maxNotes && !slices.ContainsFunc(notes, func(o note) bool { return o.process == n.process }) {
		notes = append(slices.Clone(notes), n)
	}
	p.noted.put(id, notes, maxNotedParts)
}

// MergePrompts adds the breaks of long prompts that other routers have seen. It returns the parts
// that are refused from now on, or no longer are.
func (p *Parts) MergePrompts(now time.Time, all []BrokenPrompt) []Change {
	changed := false
	for _, b := range all[:min(len(all), maxPrompts)] {
		at := ago(now, b.AgeMS)
		if now.Sub(at) > partTTL {
			continue
		}
		n := note{strike: strike{request: b.Request, at: at}, process: b.Process}
		for _, id := range p.suspectsAmong(b.Parts[:min(len(b.Parts), maxPromptParts)], n) {
			if s := p.suspect(at, id); s.add(n.process, n.strike) {
				s.mergedAt, changed = now, true
			}
		}
	}
	if !changed {
		return nil
	}
	return p.update()
}
