// Package operator defines the JSON that a router serves to operators.
package operator

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/node"
)

// Status describes one router: its identity, the sheet in force, its load, and
// the routers and upstreams that it knows.
type Status struct {
	Router      core.RouterID    `json:"router"`
	DataCentre  core.DataCentre  `json:"data_centre"`
	Seat        core.Seat        `json:"seat"`
	Incarnation core.Incarnation `json:"incarnation"`
	// Revision is the number of the revision in force, given the records of the
	// configuration stream up to the offset AsOf. Author and Text belong to it.
	Revision core.Offset `json:"revision"`
	AsOf     core.Offset `json:"as_of"`
	Author   string      `json:"author"`
	Text     string      `json:"text"`
	// AwaitingSnapshot reports whether records of the configuration stream were
	// trimmed before the router read them, so that it needs a snapshot.
	AwaitingSnapshot bool `json:"waiting"`
	// SheetError is the reason why the sheet in force cannot be parsed, or empty.
	SheetError string `json:"fault,omitempty"`
	// RunningRequests is the number of requests in progress.
	RunningRequests int64               `json:"running"`
	BytesSent       int64               `json:"bytes_sent"`
	BytesReceived   int64               `json:"bytes_received"`
	Peers           []Peer              `json:"peers"`
	Upstreams       []node.UpstreamInfo `json:"upstreams"`
}

// Peer is another router as the reporting router knows it.
type Peer struct {
	ID           core.RouterID   `json:"id"`
	DataCentre   core.DataCentre `json:"data_centre"`
	Seat         core.Seat       `json:"seat"`
	Revision     core.Offset     `json:"revision"`
	ShuttingDown bool            `json:"leaving"`
	// Seen reports whether a heartbeat has arrived from the peer.
	Seen bool `json:"heard"`
	// SinceLastSeenMS is the time since the last heartbeat in milliseconds, or
	// zero if Seen is false.
	SinceLastSeenMS int64 `json:"silent_ms"`
}
