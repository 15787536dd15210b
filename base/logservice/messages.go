// Package logservice holds the client and the messages of the log service and of
// the instance list, which use JSON over HTTP, and the load report of engines. The
// commands lab/log, lab/list and lab/engine are stand-ins for them.
package logservice

import "camphorpulley.org/core"

// Record is a record of a stream.
type Record struct {
	Offset core.Offset `json:"offset"`
	Data   []byte      `json:"data"`
}

// AppendResponse is the response to an append. Offset is that of the new record.
type AppendResponse struct {
	Offset core.Offset `json:"offset"`
}

// Page is the response to a read. Earliest is the first offset that the log
// still keeps, and Next is the offset that the next append will get.
type Page struct {
	Earliest core.Offset `json:"earliest"`
	Next     core.Offset `json:"next"`
	Records  []Record    `json:"records"`
}

// Role is the purpose of an instance.
type Role string

const (
	// RoleEntry marks an instance that runs a router.
	RoleEntry Role = "entry"
	// RoleUpstream marks an instance that runs an engine or an application.
	RoleUpstream Role = "upstream"
)

// Instance is an entry of the instance list. Pool is empty for routers, and Seat
// is zero for upstreams. Draining reports whether the instance is about to be
// removed.
type Instance struct {
	ID         string          `json:"id"`
	Role       Role            `json:"role"`
	Pool       core.Pool       `json:"pool,omitempty"`
	DataCentre core.DataCentre `json:"data_centre"`
	Address    string          `json:"address"`
	Seat       core.Seat       `json:"seat,omitempty"`
	Draining   bool            `json:"leaving,omitempty"`
}

// InstanceList is the response of the instance list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// LoadReport is an engine's report on its load.
type LoadReport struct {
	// Boot identifies the process of the engine; it changes at each restart.
	Boot string `json:"boot"`
	// Running is the number of requests that run or are queued at the engine.
	Running int `json:"running"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Names of the streams that the routers use.
const (
	// ConfigStream holds proposals and snapshots of the configuration.
	ConfigStream = "config"
	// OrderStream holds claims, voided claims and results of orders.
	OrderStream = "orders"
	// SuspectStream holds the digests of requests that were running when an
	// upstream crashed, and of those among them that have since completed.
	SuspectStream = "suspects"
)
