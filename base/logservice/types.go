// Package logservice is the client of the project's own log service and list of
// instances, both JSON over HTTP.
package logservice

import "camphorpulley.org/core"

// Record is one record of a stream.
type Record struct {
	Offset core.Offset `json:"offset"`
	Data   []byte      `json:"data"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset core.Offset `json:"offset"`
}

// Page is the answer to a read. Earliest is the first offset that the log
// keeps, and Next the one that the next append is given.
type Page struct {
	Earliest core.Offset `json:"earliest"`
	Next     core.Offset `json:"next"`
	Records  []Record    `json:"records"`
}

// Role says what an instance is for.
type Role string

const (
	// Entry instances run routers.
	Entry Role = "entry"
	// Upstream instances run engines or applications.
	Upstream Role = "upstream"
)

// Instance is one row of the list.
type Instance struct {
	ID         string          `json:"id"`
	Role       Role            `json:"role"`
	Pool       core.Pool       `json:"pool,omitempty"`
	DataCentre core.DataCentre `json:"data_centre"`
	Address    string          `json:"address"`
	Seat       core.Seat       `json:"seat,omitempty"`
	Leaving    bool            `json:"leaving,omitempty"`
}

// Listing is the answer of the list.
type Listing struct {
	Instances []Instance `json:"instances"`
}

// Load is an engine's load report.
type Load struct {
	// Boot names the process.
	Boot string `json:"boot"`
	// Running is the number of requests in the batch or waiting for it.
	Running int `json:"running"`
	// AgeMS says how old the report is, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Streams of the log that the system keeps.
const (
	// ConfigStream holds proposals and snapshots of the configuration.
	ConfigStream = "config"
	// OrderStream holds claims and results of orders.
	OrderStream = "orders"
	// SuspectStream holds requests that were running during crashes.
	SuspectStream = "suspects"
)
