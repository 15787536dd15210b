// Package account holds client accounts and a fair queue of their requests.
package account

import (
	"camphorpulley.org/core"
)

// Account is a client account as declared in the sheet.
type Account struct {
	Name core.Account
	// TokenDigest is the SHA-256 digest of the bearer token, in lower-case hex.
	TokenDigest string
	// Share is the weight in fair queueing; zero counts as one.
	Share int
	// Priority ranks accounts; one with a larger number is served first.
	Priority int
}

// Weight returns Share, at least one.
func (a Account) Weight() int {
	return max(a.Share, 1)
}

// ByToken returns the account whose token digest matches.
func ByToken(accounts []Account, digest string) (Account, bool) {
	for _, a := range accounts {
		if a.TokenDigest == digest {
			return a, true
		}
	}
	return Account{}, false
}
