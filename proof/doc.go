// Package proof shows that each rule is needed: its tests take one rule away at
// a time and see another test fail.
package proof
