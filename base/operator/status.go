// Package operator holds what routers tell operators.
package operator

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/node"
)

// Status is the state of one router.
type Status struct {
	Router      core.RouterID    `json:"router"`
	DataCentre  core.DataCentre  `json:"data_centre"`
	Seat        core.Seat        `json:"seat"`
	Incarnation core.Incarnation `json:"incarnation"`
	// Revision is in force, as the log stood at AsOf.
	Revision core.Offset `json:"revision"`
	AsOf     core.Offset `json:"as_of"`
	Author   string      `json:"author"`
	Text     string      `json:"text"`
	// Waiting is set while records of the log are missing.
	Waiting bool `json:"waiting"`
	// Fault says why the sheet in force can't be read; empty if it can.
	Fault         string              `json:"fault,omitempty"`
	Running       int64               `json:"running"`
	BytesSent     int64               `json:"bytes_sent"`
	BytesReceived int64               `json:"bytes_received"`
	Peers         []Peer              `json:"peers"`
	Upstreams     []node.UpstreamInfo `json:"upstreams"`
}

// Peer is another router as this one sees it.
type Peer struct {
	ID         core.RouterID   `json:"id"`
	DataCentre core.DataCentre `json:"data_centre"`
	Seat       core.Seat       `json:"seat"`
	Revision   core.Offset     `json:"revision"`
	Leaving    bool            `json:"leaving"`
	Heard      bool            `json:"heard"`
	// SilentMS is the time since the last heartbeat, in milliseconds.
	SilentMS int64 `json:"silent_ms"`
}
