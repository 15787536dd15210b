// Package datacentre holds data centres and whether they take new work.
package datacentre

import "camphorpulley.org/core"

// Service says whether a data centre takes new work.
type Service string

const (
	// In takes new work.
	In Service = "in"
	// Out takes none; what runs there is finished.
	Out Service = "out"
)

// DataCentre is a data centre as the sheet states it.
type DataCentre struct {
	Name   core.DataCentre
	Region string
	// Service is In when empty.
	Service Service
	// Seats is the number of entry instances between which the limits of the
	// data centre's upstreams are divided; zero counts as one.
	Seats int
}

// TakesWork reports whether new work may be sent to upstreams there.
func (d DataCentre) TakesWork() bool {
	return d.Service != Out
}

// SeatCount returns the number of seats, at least one.
func (d DataCentre) SeatCount() int {
	return max(d.Seats, 1)
}
