package pool

import (
	"slices"

	"camphorpulley.org/core"
)

// Rule limits where requests of an account to a pool may go. Empty fields
// match every account or pool.
type Rule struct {
	Name    string
	Account core.Account
	Pool    core.Pool
	// Allow lists the only data centres permitted; empty permits all.
	Allow []core.DataCentre
	// Bar lists data centres that are forbidden.
	Bar []core.DataCentre
	// Cross lists foreign regions to which the request may be sent.
	Cross []string
}

// Matches reports whether the rule speaks of the account and pool.
func (r Rule) Matches(account core.Account, pool core.Pool) bool {
	return (r.Account == "" || r.Account == account) && (r.Pool == "" || r.Pool == pool)
}

// Permits reports whether all rules let a request go to a data centre.
func Permits(rules []Rule, account core.Account, pool core.Pool, dc core.DataCentre) bool {
	for _, r := range rules {
		if !r.Matches(account, pool) {
			continue
		}
		if slices.Contains(r.Bar, dc) || (len(r.Allow) > 0 && !slices.Contains(r.Allow, dc)) {
			return false
		}
	}
	return true
}

// Crosses reports whether a rule lets a request leave its region for another.
func Crosses(rules []Rule, account core.Account, pool core.Pool, region string) bool {
	return slices.ContainsFunc(rules, func(r Rule) bool {
		return r.Matches(account, pool) && slices.Contains(r.Cross, region)
	})
}
