package rollout

import "slices"

const (
	// slowFactor is how many times the median of the old release's answers an answer takes to
	// be bad.
	slowFactor = 2.5
	// minMedian is the least number of answers that a median is taken of. It is taken of those of
	// medianSlots and of earlier ones until there are goodMedian: the median of a few answers is
	// so inexact that a good release looks slow.
	minMedian   = 5
	goodMedian  = 50
	medianSlots = 3
	// windowSlots is how many slots back the share of bad answers of a route is taken from.
	windowSlots = 8
	// priorWeight is the number of answers as many as which the wider share counts when the
	// narrower one rests on few.
	priorWeight = 4
	// minBlindShare is the least that is added to the expected share of bad answers while the old
	// release has fewer than minMedian answers, as once the requests have moved. More is added if
	// its share has risen more for a while: a bad hour can't be told from a bad release then.
	minBlindShare = 0.03
	// hourSlots is the time for which a bad hour lasts at least, in slots.
	hourSlots = 4
)

// judged is an answer of the new release.
type judged struct {
	route, upstream, router uint16
	// block numbers the time in which answers of an upstream are alike.
	block int64
	bad   bool
	// blind is true if the old release had few answers at the same time.
	blind bool
	// expected is the probability that the old release's answer would be bad.
	expected float64
}

// summary is what the samples of a slot say, by the old release's answers at the same time.
type summary struct {
	new []judged
	// old holds the old release's answers and bad ones by route.
	old map[uint16]count
	// residual holds, by old upstream, how many more answers were bad than expected.
	residual map[uint16]residual
	// newSeen, newBad, oldSeen and oldBad estimate the numbers from the samples kept.
	newSeen, newBad, oldSeen, oldBad float64
}

// count is a number of answers and of bad ones among them.
type count struct{ all, bad float64 }

func (c count) plus(other count) count { return count{c.all + other.all, c.bad + other.bad} }

// share returns the share of bad answers, where prior counts like priorWeight answers.
func (c count) share(prior float64) float64 {
	return (c.bad + priorWeight*prior) / (c.all + priorWeight)
}

// residual is what the answers of one upstream add to the estimate of how bad answers cluster.
type residual struct {
	n, bad   int
	excess   float64 // bad answers beyond those expected
	variance float64 // of independent answers
}

func (r residual) plus(other residual) residual {
	return residual{r.n + other.n, r.bad + other.bad, r.excess + other.excess, r.variance + other.variance}
}

// medianKey is what answers must have in common to be compared by time.
type medianKey struct {
	route uint16
	size  int8
}

// medians returns the medians of the old release's answers at slot i. Those of a route and size
// with few answers in the last slots rest on earlier ones.
func (t *Trial) medians(i int) map[medianKey]float32 {
	values := map[medianKey][]float32{}
	closed := map[medianKey]bool{}
	for j := i; j >= 0; j-- {
		for _, r := range t.slots[j].old.kept {
			if k := (medianKey{r.route, r.size}); !r.failed && !closed[k] {
				values[k] = append(values[k], r.seconds)
			}
		}
		if i-j < medianSlots {
			continue
		}
		all := true
		for k, v := range values {
			closed[k] = len(v) >= goodMedian
			all = all && closed[k]
		}
		if all && i-j >= windowSlots && len(values) > 0 {
			break
		}
	}
	result := map[medianKey]float32{}
	for k, v := range values {
		if len(v) >= minMedian {
			slices.Sort(v)
			result[k] = v[len(v)/2]
		}
	}
	return result
}

// summarize makes the summary of slot i. Those of the slots before it must be there.
func (t *Trial) summarize(i int) {
	s := t.slots[i]
	medians := t.medians(i)
	bad := func(r record) bool {
		m, known := medians[medianKey{r.route, r.size}]
		return r.failed || (known && r.seconds > slowFactor*m)
	}
	sum := &summary{old: map[uint16]count{}, residual: map[uint16]residual{}}
	for _, r := range s.old.kept {
		sum.old[r.route] = sum.old[r.route].plus(count{1, float64(number(bad(r)))})
	}
	s.sum = sum
	shares := t.routeShares(i)
	// A data centre, or all of them, may be worse at this moment than the routes usually are.
	var here count
	byCentre := map[uint16]count{}
	for _, r := range s.old.kept {
		c := count{1, float64(number(bad(r))) - shares.of(r.route)}
		here, byCentre[r.centre] = here.plus(c), byCentre[r.centre].plus(c)
	}
	alone := len(s.old.kept) < minMedian
	blind := t.rise(i, shares.all)
	expected := func(r record) float64 {
		p := shares.of(r.route) + byCentre[r.centre].share(here.share(0))
		if alone {
			p += blind
		}
		return min(max(p, 0), 1)
	}
	for _, r := range s.old.kept {
		p, b := expected(r), number(bad(r))
		sum.residual[r.upstream] = sum.residual[r.upstream].plus(residual{1, b, float64(b) - p, p * (1 - p)})
	}
	newBad := 0
	for _, r := range s.new.kept {
		j := judged{route: r.route, upstream: r.upstream, router: r.router, block: s.index / clusterSlots, bad: bad(r), blind: alone, expected: expected(r)}
		newBad += number(j.bad)
		sum.new = append(sum.new, j)
	}
	sum.newSeen, sum.newBad = float64(s.new.seen), scale(newBad, s.new)
	sum.oldSeen = float64(s.old.seen)
	for _, c := range sum.old {
		sum.oldBad += scale(int(c.bad), s.old)
	}
}

// scale returns the number of bad answers in a slot by those among the samples kept.
func scale(bad int, d side) float64 {
	if len(d.kept) == 0 {
		return 0
	}
	return float64(bad) * float64(d.seen) / float64(len(d.kept))
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// routeShares are the old release's shares of bad answers by route.
type routeShares struct {
	byRoute map[uint16]float64
	all     float64
}

func (r routeShares) of(route uint16) float64 {
	if p, known := r.byRoute[route]; known {
		return p
	}
	return r.all
}

// routeShares returns the shares at slot i: those of the last slots, which count more the more
// answers they rest on, then those of all slots so far, then that of all routes.
func (t *Trial) routeShares(i int) routeShares {
	var total count
	ever, recent := map[uint16]count{}, map[uint16]count{}
	for j, s := range t.slots[:i+1] {
		for route, c := range s.sum.old {
			total, ever[route] = total.plus(c), ever[route].plus(c)
			if i-j < windowSlots {
				recent[route] = recent[route].plus(c)
			}
		}
	}
	shares := routeShares{byRoute: map[uint16]float64{}, all: total.share(0)}
	for route, c := range ever {
		shares.byRoute[route] = recent[route].share(c.share(shares.all))
	}
	return shares
}

// rise returns by how much the old release's share of bad answers has exceeded the mean for
// hourSlots at most, up to slot i.
func (t *Trial) rise(i int, mean float64) float64 {
	most := minBlindShare
	for j := range max(i-hourSlots, 0) {
		var c count
		for _, s := range t.slots[j : j+hourSlots] {
			for _, n := range s.sum.old {
				c = c.plus(n)
			}
		}
		most = max(most, c.share(mean)-mean)
	}
	return most
}
