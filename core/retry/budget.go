// Package retry bounds how many more attempts are made than requests.
package retry

// Budget lets a fraction of recent successes be retried. The zero value lets
// Reserve retries pass and refills by Fraction of each success.
type Budget struct {
	// Spent is what has been taken out, at most Reserve.
	Spent float64
}

const (
	// Fraction is the part of a retry that each success pays for.
	Fraction = 0.1
	// Reserve is the largest number of retries that can be saved up.
	Reserve = 30.0
)

// Succeed pays for a fraction of a retry.
func (b *Budget) Succeed() {
	b.Spent = max(b.Spent-Fraction, 0)
}

// Take reports whether a retry may be made and takes it out of the budget.
func (b *Budget) Take() bool {
	if b.Spent+1 > Reserve {
		return false
	}
	b.Spent++
	return true
}
