package pool

import (
	"slices"

	"camphorpulley.org/core"
)

// Rule restricts where the requests of an account to a pool may go. An empty
// Account or Pool matches all.
type Rule struct {
	Name    string
	Account core.Account
	Pool    core.Pool
	// Allow lists the only permitted data centres; empty permits all.
	Allow []core.DataCentre
	// Deny lists forbidden data centres.
	Deny []core.DataCentre
	// OtherRegions lists the other regions to which the requests may go.
	OtherRegions []string
}

// Matches reports whether the rule applies to the account and the pool.
func (r Rule) Matches(account core.Account, pool core.Pool) bool {
	return (r.Account == "" || r.Account == account) && (r.Pool == "" || r.Pool == pool)
}

// Permits reports whether all matching rules permit a request to go to a data
// centre.
func Permits(rules []Rule, account core.Account, pool core.Pool, dc core.DataCentre) bool {
	for _, r := range rules {
		if !r.Matches(account, pool) {
			continue
		}
		if slices.Contains(r.Deny, dc) || (len(r.Allow) > 0 && !slices.Contains(r.Allow, dc)) {
			return false
		}
	}
	return true
}

// PermitsRegion reports whether a matching rule permits a request to go to another
// region.
func PermitsRegion(rules []Rule, account core.Account, pool core.Pool, region string) bool {
	return slices.ContainsFunc(rules, func(r Rule) bool {
		return r.Matches(account, pool) && slices.Contains(r.OtherRegions, region)
	})
}
