// Package datacentre holds the configuration of data centres.
package datacentre

import "camphorpulley.org/core"

// ServiceState states whether a data centre is in service.
type ServiceState string

const (
	// In means that the data centre accepts new work.
	In ServiceState = "in"
	// Out means that the data centre accepts no new work; running requests finish.
	Out ServiceState = "out"
)

// DataCentre is the configuration of a data centre in the sheet.
type DataCentre struct {
	Name   core.DataCentre
	Region string
	// Service counts as In if empty.
	Service ServiceState
	// Seats is the number of entry instances of the data centre, among which the
	// limits of its upstreams are divided. Zero counts as one.
	Seats int
}

// AcceptsWork reports whether upstreams of the data centre may receive new work.
func (d DataCentre) AcceptsWork() bool {
	return d.Service != Out
}

// SeatCount returns Seats, or one if that is zero.
func (d DataCentre) SeatCount() int {
	return max(d.Seats, 1)
}
