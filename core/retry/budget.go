// Package retry limits the number of retries: Budget for one router by its successes,
// SharedBudget for all routers by their requests.
package retry

// Budget is a token bucket for retries: each retry takes a token, and each success
// returns TokenRatio of one. The zero value is full, with MaxTokens.
type Budget struct {
	// Spent is the number of tokens missing from the bucket, at most MaxTokens.
	Spent float64
}

const (
	// TokenRatio is the number of tokens that each success returns.
	TokenRatio = 0.1
	// MaxTokens is the size of the bucket.
	MaxTokens = 30.0
)

// RecordSuccess returns TokenRatio of a token to the bucket.
func (b *Budget) RecordSuccess() {
	b.Spent = max(b.Spent-TokenRatio, 0)
}

// Take reports whether a retry may be made, and takes a token if so.
func (b *Budget) Take() bool {
	if b.Spent+1 > MaxTokens {
		return false
	}
	b.Spent++
	return true
}
