package rollout

import "math"

// binomialTail returns the probability of at least k successes in n trials of probability p, and
// 1 if k isn't above the mean.
func binomialTail(k, n int, p float64) float64 {
	switch {
	case k <= 0 || float64(k) <= float64(n)*p:
		return 1
	case k > n || p <= 0:
		return 0
	}
	logOf := func(x int) float64 {
		v, _ := math.Lgamma(float64(x) + 1)
		return v
	}
	term := math.Exp(logOf(n) - logOf(k) - logOf(n-k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += term
		ratio := float64(n-i) / float64(i+1) * p / (1 - p)
		// Past the mean, terms fall faster and faster.
		if ratio < 1 && term < sum*1e-9 {
			break
		}
		term *= ratio
	}
	return min(sum, 1)
}
