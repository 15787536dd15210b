package dispatch

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorpulley.org/core"
)

// player plays random requests against a dispatcher.
type player struct {
	d    Dispatcher
	now  time.Time
	next uint64
	// open holds the requests that were asked for and that are not decided on finally, with their
	// last decision.
	open map[Key]Decision
}

// TestSlotsKept checks, for random requests, outcomes and pauses, that no upstream has more than one
// request beyond its slots, that each request is granted or refused once at most, and that nothing
// waits while an upstream that it may get has a free slot.
func TestSlotsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{now: start, open: map[Key]Decision{}}
		var all []Upstream
		for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
			all = append(all, Upstream{ID: core.UpstreamID("u" + strconv.Itoa(i)), Slots: rapid.IntRange(1, 6).Draw(t, "slots")})
		}
		limits := Limits{Share: rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share"), LoadFactor: 2}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			p.d.Update(p.now, limits, all)
			p.step(t)
			p.check(t)
		}
	})
}

func (p *player) step(t *rapid.T) {
	granted := p.granted()
	if len(granted) > 0 && rapid.Bool().Draw(t, "return") {
		k := granted[rapid.IntRange(0, len(granted)-1).Draw(t, "which")]
		delete(p.open, k)
		outcome := rapid.SampledFrom([]Outcome{Unused, Answered, Answered, Answered, Lost}).Draw(t, "outcome")
		p.apply(t, p.d.Return(p.now, k, outcome, time.Duration(rapid.IntRange(0, 200).Draw(t, "ran"))*time.Millisecond))
		return
	}
	p.next++
	r := Request{
		Key: Key{Router: "r", Number: p.next}, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Account: core.Account(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
		Objective: p.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "objective")) * time.Millisecond), Deadline: p.now.Add(10 * time.Second),
	}
	p.open[r.Key] = Decision{Key: r.Key}
	p.apply(t, p.d.Ask(p.now, r))
	if p.open[r.Key].Kind == 0 {
		if _, refused := p.open[r.Key]; refused {
			t.Fatalf("request %d: got no decision, want one", r.Number)
		}
	}
}

// granted returns the requests that have slots, in the order of their numbers.
func (p *player) granted() []Key {
	var keys []Key
	for n := uint64(1); n <= p.next; n++ {
		if k := (Key{Router: "r", Number: n}); p.open[k].Kind == Granted {
			keys = append(keys, k)
		}
	}
	return keys
}

func (p *player) apply(t *rapid.T, all []Decision) {
	for _, decision := range all {
		old, asked := p.open[decision.Key]
		if !asked || old.Kind == Granted {
			t.Fatalf("decision %+v: got one on a request that is decided on, want none", decision)
		}
		p.open[decision.Key] = decision
		if decision.Kind == Refused {
			delete(p.open, decision.Key)
		}
	}
}

func (p *player) check(t *rapid.T) {
	for _, h := range p.d.hosts {
		if got, most := len(h.starts), h.Slots+beyondSlots; got > most {
			t.Fatalf("requests at %s: got %d, want at most %d", h.ID, got, most)
		}
		if p.d.Waiting() > 0 && len(h.starts) < p.d.slots(h) && !p.now.Before(h.pausedUntil) {
			t.Fatalf("requests that wait: got %d, want none while %s has %d of %d", p.d.Waiting(), h.ID, len(h.starts), p.d.slots(h))
		}
	}
	for _, q := range p.d.queue {
		if got := p.open[q.Key].Kind; got != Queued {
			t.Fatalf("request %d waits: got decision %d, want %d", q.Number, got, Queued)
		}
	}
}
