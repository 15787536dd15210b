package rollout

import "math"

// habits is how the bad answers of the old release are spread.
type habits struct {
	// alike is how much the answers of one upstream are alike within clusterSlots: zero if bad
	// ones are spread evenly, one if all of its answers are bad or none. It is the intra-class
	// correlation.
	alike float64
	// struck is the fraction of the clusters that are struck.
	struck float64
}

// cluster stands for the answers of an upstream that are alike.
type cluster struct {
	upstream uint16
	block    int64
}

const (
	// clusterSlots is the time for which the answers of one upstream are alike, in slots.
	clusterSlots = 4
	// A cluster is struck if it has minStruck bad answers of minCluster, and the share of bad
	// ones exceeds the expected one by struckExcess.
	minCluster   = 4
	minStruck    = 2
	struckExcess = 0.15
	// baseStruck is the fraction of struck clusters that is always expected.
	baseStruck = 0.05
)

func (r residual) struck(bad int) bool {
	return bad >= minStruck && r.excess > struckExcess*float64(r.n)
}

// habits returns how the bad answers of the old release have been spread so far.
func (t *Trial) habits() habits {
	clusters := map[cluster]residual{}
	for _, s := range t.slots {
		for upstream, r := range s.sum.residual {
			k := cluster{upstream, s.index / clusterSlots}
			clusters[k] = clusters[k].plus(r)
		}
	}
	more, pairs, large, struck := 0.0, 0.0, 0.0, 0.0
	for _, c := range clusters {
		more += c.excess*c.excess - c.variance
		pairs += float64(c.n-1) * c.variance
		if c.n >= minCluster {
			large++
			struck += float64(number(c.struck(c.bad)))
		}
	}
	h := habits{struck: baseStruck + struck/max(large, 1)}
	if pairs > 0 {
		h.alike = min(max(more/pairs, 0), 1)
	}
	return h
}

// residual returns what the answer adds to that of its cluster.
func (j judged) residual() residual {
	bad := number(j.bad)
	return residual{n: 1, bad: bad, excess: float64(bad) - j.expected}
}

// exceeds reports whether more of the answers are bad than expected, by a margin and at a level
// of significance.
func (c comparison) exceeds(answers []judged, h habits, level float64) bool {
	if len(answers) < minJudged {
		return false
	}
	var sum residual
	for _, j := range answers {
		sum = sum.plus(j.residual())
	}
	if sum.bad < minBad || sum.excess < minExcess*float64(sum.n) {
		return false
	}
	clusters := map[cluster]residual{}
	for _, j := range answers {
		k := cluster{j.upstream, j.block}
		clusters[k] = clusters[k].plus(j.residual())
	}
	// What is struck on all routes says nothing about one that is worse than the others.
	return c.byAnswers(sum, clusters, h) < level || (c.among == 0 && byClusters(clusters, h) < level)
}

// byAnswers returns the probability of as many bad answers. Answers of one upstream are alike
// while its host is slow, say, so that many of them count as fewer independent ones.
func (c comparison) byAnswers(sum residual, clusters map[cluster]residual, h habits) float64 {
	n, pairs := float64(sum.n), 0.0
	for _, r := range clusters {
		pairs += float64(r.n * (r.n - 1))
	}
	effect := 1 + h.alike*pairs/n
	p := (float64(sum.bad)-sum.excess)/n + baseShare
	p += 2 * math.Sqrt(p*(1-p)*effect/max(c.old, 1))
	return binomialTail(int(float64(sum.bad)/effect), int(math.Ceil(n/effect)), min(p, 1))
}

// byClusters returns the probability of as many struck clusters. It tells a release that is bad
// everywhere from an hour in which single upstreams are: there, few clusters are struck.
func byClusters(clusters map[cluster]residual, h habits) float64 {
	large, struck, expected := 0, 0, 0.0
	for _, r := range clusters {
		if r.n >= minCluster {
			large++
			struck += number(r.struck(r.bad))
			expected += min(h.struck+r.struckByChance(), 1)
		}
	}
	return binomialTail(struck, large, expected/max(float64(large), 1))
}

// struckByChance returns the probability that independent answers strike the cluster. The old
// release's clusters are larger, and are struck less by chance.
func (r residual) struckByChance() float64 {
	n := float64(r.n)
	p := min(max((float64(r.bad)-r.excess)/n, 0), 1)
	least := max(int((p+struckExcess)*n)+1, minStruck)
	return binomialTail(least, r.n, p)
}
