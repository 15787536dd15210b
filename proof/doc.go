// Package proof is a mutation test of the rules in the source: each case removes or
// changes one rule and checks that an existing test then fails.
package proof
