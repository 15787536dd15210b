// Package wire encodes and decodes the messages between routers as CBOR with integer
// keys.
package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/base/record"
	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
)

// The types in this file mirror message types of package node: same fields in the
// same order, with CBOR keys added, so that values can be converted. Types that hold
// other mirror types are copied field by field.

type message struct {
	Handshake     *handshake       `cbor:"1,keyasint,omitempty"`
	Heartbeat     *heartbeat       `cbor:"2,keyasint,omitempty"`
	PermitRequest *permitRequest   `cbor:"3,keyasint,omitempty"`
	Grant         *grant           `cbor:"4,keyasint,omitempty"`
	Deny          *denial          `cbor:"5,keyasint,omitempty"`
	Cancel        *cancel          `cbor:"6,keyasint,omitempty"`
	Release       *release         `cbor:"7,keyasint,omitempty"`
	Snapshot      *config.Snapshot `cbor:"8,keyasint,omitempty"`
	Suspect       *suspect         `cbor:"9,keyasint,omitempty"`
	Ping          *ping            `cbor:"10,keyasint,omitempty"`
}

type ping struct {
	Stamp node.Stamp `cbor:"1,keyasint"`
}

type handshake struct {
	Router      core.RouterID    `cbor:"1,keyasint"`
	DataCentre  core.DataCentre  `cbor:"2,keyasint"`
	Seat        core.Seat        `cbor:"3,keyasint"`
	Address     string           `cbor:"4,keyasint"`
	Incarnation core.Incarnation `cbor:"5,keyasint"`
}

type heartbeat struct {
	Stamp          node.Stamp    `cbor:"1,keyasint"`
	Echo           node.Stamp    `cbor:"2,keyasint,omitempty"`
	Revision       core.Offset   `cbor:"3,keyasint,omitempty"`
	ShuttingDown   bool          `cbor:"4,keyasint,omitempty"`
	LiveSeats      uint64        `cbor:"5,keyasint,omitempty"`
	Running        []running     `cbor:"6,keyasint,omitempty"`
	Leases         []lease       `cbor:"7,keyasint,omitempty"`
	Confirmed      []confirmed   `cbor:"8,keyasint,omitempty"`
	Health         []health      `cbor:"9,keyasint,omitempty"`
	Held           []heldPermits `cbor:"10,keyasint,omitempty"`
	ClaimsComplete bool          `cbor:"11,keyasint,omitempty"`
	Claims         []claim       `cbor:"12,keyasint,omitempty"`
	RequestClaims  bool          `cbor:"13,keyasint,omitempty"`
}

type running struct {
	Pool  core.Pool `cbor:"1,keyasint"`
	Count int       `cbor:"2,keyasint"`
}

type lease struct {
	Upstream    core.UpstreamID `cbor:"1,keyasint"`
	Epoch       uint64          `cbor:"2,keyasint"`
	Units       int             `cbor:"3,keyasint"`
	Outstanding int             `cbor:"4,keyasint,omitempty"`
}

type confirmed struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Epoch    uint64          `cbor:"2,keyasint"`
	Units    int             `cbor:"3,keyasint"`
}

type health struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Boot     string          `cbor:"2,keyasint,omitempty"`
	AgeMS    int64           `cbor:"3,keyasint"`
	Down     bool            `cbor:"4,keyasint,omitempty"`
}

type heldPermits struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	LastSeq  uint64          `cbor:"2,keyasint"`
	Held     []uint64        `cbor:"3,keyasint,omitempty"`
}

type claim struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Epoch    uint64          `cbor:"2,keyasint"`
	Count    int             `cbor:"3,keyasint"`
}

type permitRequest struct {
	ID       uint64          `cbor:"1,keyasint"`
	Stamp    node.Stamp      `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	Account  core.Account    `cbor:"4,keyasint"`
	Weight   int             `cbor:"5,keyasint,omitempty"`
	Priority int             `cbor:"6,keyasint,omitempty"`
	Suspect  bool            `cbor:"7,keyasint,omitempty"`
	WaitMS   int64           `cbor:"8,keyasint,omitempty"`
	Running  int             `cbor:"9,keyasint"`
}

type grant struct {
	RequestID uint64          `cbor:"1,keyasint"`
	Seq       uint64          `cbor:"2,keyasint"`
	Upstream  core.UpstreamID `cbor:"3,keyasint"`
	Owner     core.Seat       `cbor:"4,keyasint"`
	Epoch     uint64          `cbor:"5,keyasint,omitempty"`
	Boot      string          `cbor:"6,keyasint,omitempty"`
	Echo      node.Stamp      `cbor:"7,keyasint"`
}

type denial struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

type cancel struct {
	RequestID uint64          `cbor:"1,keyasint"`
	Upstream  core.UpstreamID `cbor:"2,keyasint"`
}

type release struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Outcome  node.Outcome    `cbor:"3,keyasint,omitempty"`
	Boot     string          `cbor:"4,keyasint,omitempty"`
}

type suspect struct {
	Digest  core.Digest `cbor:"1,keyasint"`
	Process string      `cbor:"2,keyasint,omitempty"`
	Clear   bool        `cbor:"3,keyasint,omitempty"`
}

// EncodeNodeMessage encodes a message of package node.
func EncodeNodeMessage(m node.Message) ([]byte, error) {
	return record.Encode(message{
		Handshake:     (*handshake)(m.Handshake),
		Heartbeat:     encodeHeartbeat(m.Heartbeat),
		PermitRequest: (*permitRequest)(m.PermitRequest),
		Grant:         (*grant)(m.Grant),
		Deny:          (*denial)(m.Deny),
		Cancel:        (*cancel)(m.Cancel),
		Release:       (*release)(m.Release),
		Snapshot:      m.Snapshot,
		Suspect:       (*suspect)(m.Suspect),
		Ping:          (*ping)(m.Ping),
	})
}

// DecodeNodeMessage decodes a message of package node. It returns an error if the
// data is not a valid CBOR message.
func DecodeNodeMessage(data []byte) (node.Message, error) {
	m, err := record.Decode[message](data)
	if err != nil {
		return node.Message{}, err
	}
	return node.Message{
		Handshake:     (*node.Handshake)(m.Handshake),
		Heartbeat:     decodeHeartbeat(m.Heartbeat),
		PermitRequest: (*node.PermitRequest)(m.PermitRequest),
		Grant:         (*node.Grant)(m.Grant),
		Deny:          (*node.Deny)(m.Deny),
		Cancel:        (*node.Cancel)(m.Cancel),
		Release:       (*node.Release)(m.Release),
		Snapshot:      m.Snapshot,
		Suspect:       (*node.SuspectUpdate)(m.Suspect),
		Ping:          (*node.Ping)(m.Ping),
	}, nil
}

func encodeHeartbeat(b *node.Heartbeat) *heartbeat {
	if b == nil {
		return nil
	}
	return &heartbeat{
		Stamp: b.Stamp, Echo: b.Echo, Revision: b.Revision, ShuttingDown: b.ShuttingDown, LiveSeats: b.LiveSeats,
		Running:        lo.Map(b.Running, func(r node.PoolPermits, _ int) running { return running(r) }),
		Leases:         lo.Map(b.Leases, func(l node.Lease, _ int) lease { return lease(l) }),
		Confirmed:      lo.Map(b.Confirmed, func(c node.Confirmed, _ int) confirmed { return confirmed(c) }),
		Health:         lo.Map(b.Health, func(h node.Health, _ int) health { return health(h) }),
		Held:           lo.Map(b.Held, func(s permit.HolderReport, _ int) heldPermits { return heldPermits(s) }),
		ClaimsComplete: b.ClaimsComplete,
		Claims:         lo.Map(b.Claims, func(c permit.Claim, _ int) claim { return claim(c) }),
		RequestClaims:  b.RequestClaims,
	}
}

func decodeHeartbeat(b *heartbeat) *node.Heartbeat {
	if b == nil {
		return nil
	}
	return &node.Heartbeat{
		Stamp: b.Stamp, Echo: b.Echo, Revision: b.Revision, ShuttingDown: b.ShuttingDown, LiveSeats: b.LiveSeats,
		Running:        lo.Map(b.Running, func(r running, _ int) node.PoolPermits { return node.PoolPermits(r) }),
		Leases:         lo.Map(b.Leases, func(l lease, _ int) node.Lease { return node.Lease(l) }),
		Confirmed:      lo.Map(b.Confirmed, func(c confirmed, _ int) node.Confirmed { return node.Confirmed(c) }),
		Health:         lo.Map(b.Health, func(h health, _ int) node.Health { return node.Health(h) }),
		Held:           lo.Map(b.Held, func(s heldPermits, _ int) permit.HolderReport { return permit.HolderReport(s) }),
		ClaimsComplete: b.ClaimsComplete,
		Claims:         lo.Map(b.Claims, func(c claim, _ int) permit.Claim { return permit.Claim(c) }),
		RequestClaims:  b.RequestClaims,
	}
}
