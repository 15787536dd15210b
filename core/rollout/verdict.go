package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minExcess is by how much the share of bad answers must exceed the old release's.
	minExcess = 0.04
	// badLevel is the probability that a release as good as the old one is called bad by one
	// comparison. There are some twenty a second for tens of seconds.
	badLevel = 1e-6
	// spreadLevel is the same without the worst upstreams, and without the worst router, where
	// fewer answers are left.
	spreadLevel = 1e-3
	// doubtLevel and doubtSpreadLevel are those from which a trial doesn't suffice to move the
	// requests: then the cost of waiting or rolling back is less than that of a bad release.
	// While the old release has no answers to compare with, more is needed: aloneLevel.
	doubtLevel       = 2e-2
	aloneLevel       = 1e-3
	doubtSpreadLevel = 0.2
	// worstFraction is the part of the upstreams that is left out as the worst.
	worstFraction = 0.2
	// minRouters is the least number of routers of which the worst is left out.
	minRouters = 4
	// minAnswers is the least number of answers that a trial rests on. Of a release of which
	// three answers in ten are bad, 6 in 100 trials show no bad one among eight.
	minAnswers = 8
	// verdictInterval is the least time between two verdicts. Samples come every 0.5 s.
	verdictInterval = 200 * time.Millisecond
	// minJudged is the least number of answers by which a release is called bad.
	minJudged = 4
	// minBad is the least number of bad answers: one alone leaves no doubt.
	minBad = 2
	// recentSlots are the slots of the comparison that finds what has begun lately.
	recentSlots = 4
	// baseShare is the share of bad answers that is always expected, since the old release's
	// share is known only from some answers.
	baseShare = 0.01
	// ceasedAnswers is the number of recent answers that the new release must be expected to
	// have, by the old one's, for fewer than ceasedFraction of them to say that it hangs.
	ceasedAnswers  = 12
	ceasedFraction = 0.25
	// singleSlots is how long a single upstream that has answered doesn't suffice: the others
	// of the trial have their turns by then.
	singleSlots = 3
)

// Verdict is what the samples say about the new release.
type Verdict struct {
	// Bad is true if the new release is worse than the old one.
	Bad bool
	// Doubt is true if the new release may be worse than the old one.
	Doubt bool
	// Enough is true if the samples suffice to move the requests over.
	Enough bool
	// Reason states what the verdict rests on.
	Reason                                 string
	OldAnswers, OldBad, NewAnswers, NewBad int
}

// Verdict compares the new release with the old one, over all routes and on each, and over all
// of the time and lately.
//
// It is made anew after verdictInterval: on the smallest machines, one takes some tens of
// milliseconds in a large fleet.
func (t *Trial) Verdict(now time.Time) Verdict {
	if since := now.Sub(t.judgedAt); since < 0 || since >= verdictInterval {
		t.last, t.judgedAt = t.judge(now), now
	}
	return t.last
}

func (t *Trial) judge(now time.Time) Verdict {
	var v Verdict
	var newSeen, newBad, oldSeen, oldBad float64
	for i, s := range t.slots {
		if s.sum == nil {
			t.summarize(i)
		}
		newSeen, newBad = newSeen+s.sum.newSeen, newBad+s.sum.newBad
		oldSeen, oldBad = oldSeen+s.sum.oldSeen, oldBad+s.sum.oldBad
	}
	v.NewAnswers, v.NewBad = int(newSeen), int(math.Round(newBad))
	v.OldAnswers, v.OldBad = int(oldSeen), int(math.Round(oldBad))
	figures := fmt.Sprintf("%d of %d answers of the new release are bad, %d of %d of the old one", v.NewBad, v.NewAnswers, v.OldBad, v.OldAnswers)
	where := ""
	h, upstreams := t.habits(), t.newUpstreams(now)
	for _, c := range t.comparisons(now) {
		among := float64(max(c.among, 1))
		if c.excess(upstreams, h, badLevel/among, spreadLevel/among) {
			v.Bad = true
			v.Reason = figures + "; " + c.name
			return v
		}
		alone := c.excess(upstreams, h, aloneLevel/among, doubtSpreadLevel/among)
		c.answers = besideOld(c.answers)
		if alone || c.excess(upstreams, h, doubtLevel/among, doubtSpreadLevel/min(among, 4)) {
			v.Doubt, where = true, c.name
		}
	}
	switch {
	case v.NewAnswers < minAnswers || v.OldAnswers < minAnswers:
		v.Reason = figures + "; few answers"
	case v.Doubt:
		v.Reason = figures + "; in doubt " + where
	case t.ceased(now):
		v.Reason = figures + "; the new release has ceased to answer"
	default:
		v.Enough, v.Reason = true, figures
	}
	return v
}

// comparison is a set of answers of the new release.
type comparison struct {
	name    string
	answers []judged
	// old is the number of the old release's answers that what is expected rests on.
	old float64
	// among is the number of routes if it is one of them.
	among int
}

// comparisons returns what is compared: all answers, those of late, those from while the old
// release answered, too, and those of each route.
func (t *Trial) comparisons(now time.Time) []comparison {
	recent := t.steps.At(now, slotTime) - recentSlots
	all, late, beside := comparison{name: "overall"}, comparison{name: "lately"}, comparison{name: "beside the old release"}
	routes, lateRoutes := map[uint16]*comparison{}, map[uint16]*comparison{}
	for _, s := range t.slots {
		into, byRoute := []*comparison{&all}, []map[uint16]*comparison{routes}
		if s.index >= recent {
			into, byRoute = append(into, &late), append(byRoute, lateRoutes)
		}
		for _, c := range into {
			c.answers = append(c.answers, s.sum.new...)
			c.old += float64(len(s.old.kept))
		}
		for _, of := range byRoute {
			for route, n := range s.sum.old {
				get(of, route).old += n.all
			}
			for _, j := range s.sum.new {
				c := get(of, j.route)
				c.answers = append(c.answers, j)
			}
		}
	}
	beside.answers, beside.old = besideOld(all.answers), all.old
	result := []comparison{all, late, beside}
	for i, of := range []map[uint16]*comparison{routes, lateRoutes} {
		for _, route := range slices.Sorted(maps.Keys(of)) {
			c := *of[route]
			c.name = [...]string{"on route ", "lately on route "}[i] + t.routeName(route)
			c.among = len(of)
			result = append(result, c)
		}
	}
	return result
}

// besideOld returns the answers from while the old release answered, too.
func besideOld(answers []judged) []judged {
	blind := func(j judged) bool { return j.blind }
	if !slices.ContainsFunc(answers, blind) {
		return answers
	}
	return slices.DeleteFunc(slices.Clone(answers), blind)
}

func get(of map[uint16]*comparison, route uint16) *comparison {
	c := of[route]
	if c == nil {
		c = &comparison{}
		of[route] = c
	}
	return c
}

func (t *Trial) routeName(number uint16) string {
	for name, n := range t.routes {
		if n == number {
			return name
		}
	}
	return "(others)"
}

// newUpstreams returns how many upstreams of the new release have answered, and at least two
// while the turns of others may not have come.
func (t *Trial) newUpstreams(now time.Time) int {
	seen := map[uint16]struct{}{}
	first := int64(math.MaxInt64)
	for _, s := range t.slots {
		for _, j := range s.sum.new {
			first = min(first, s.index)
			seen[j.upstream] = struct{}{}
		}
	}
	if t.steps.At(now, slotTime)-first < singleSlots {
		return max(len(seen), 2)
	}
	return len(seen)
}

// excess reports whether more of the answers are bad than expected: by the level given, and by
// the level spread without the worst upstreams and without the worst router. A single bad
// upstream, or a router with a bad link, doesn't make a bad release.
func (c comparison) excess(upstreams int, h habits, level, spread float64) bool {
	answers := c.answers
	if !c.exceeds(answers, h, level) {
		return false
	}
	if upstreams >= 2 {
		upstream := func(j judged) uint16 { return j.upstream }
		worst := max(int(worstFraction*float64(distinct(answers, upstream))), 1)
		if !c.exceeds(without(answers, upstream, worst), h, spread) {
			return false
		}
	}
	router := func(j judged) uint16 { return j.router }
	if n := distinct(answers, router); n >= minRouters {
		return c.exceeds(without(answers, router, 1), h, spread)
	}
	return true
}

func distinct(answers []judged, by func(judged) uint16) int {
	seen := map[uint16]struct{}{}
	for _, j := range answers {
		seen[by(j)] = struct{}{}
	}
	return len(seen)
}

// without returns the answers without those of the n worst upstreams or routers.
func without(answers []judged, by func(judged) uint16, n int) []judged {
	excess := map[uint16]float64{}
	for _, j := range answers {
		excess[by(j)] += float64(number(j.bad)) - j.expected
	}
	worst := slices.SortedFunc(maps.Keys(excess), func(a, b uint16) int {
		return cmp.Or(cmp.Compare(excess[b], excess[a]), cmp.Compare(a, b))
	})[:n]
	return slices.DeleteFunc(slices.Clone(answers), func(j judged) bool { return slices.Contains(worst, by(j)) })
}

// ceased reports whether the new release has answered far fewer requests lately than just before,
// compared with the old one, as one that hangs does.
func (t *Trial) ceased(now time.Time) bool {
	recent := t.steps.At(now, slotTime) - recentSlots
	var oldBefore, oldNow, newBefore, newNow float64
	for _, s := range t.slots {
		if s.index >= recent {
			oldNow, newNow = oldNow+s.sum.oldSeen, newNow+s.sum.newSeen
		} else if s.index >= recent-recentSlots {
			oldBefore, newBefore = oldBefore+s.sum.oldSeen, newBefore+s.sum.newSeen
		}
	}
	expected := newBefore * oldNow / max(oldBefore, 1)
	return expected >= ceasedAnswers && newNow < ceasedFraction*expected
}
