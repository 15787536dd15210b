package wire

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/node"
	"camphorpulley.org/router/peer"
)

// PermitProtocol returns the protocol between routers that grant permits, with the
// messages of package node.
func PermitProtocol() peer.Protocol[node.Handshake, node.Message] {
	return peer.Protocol[node.Handshake, node.Message]{
		Encode:       EncodeNodeMessage,
		Decode:       DecodeNodeMessage,
		NewHandshake: func(h node.Handshake) node.Message { return node.Message{Handshake: &h} },
		Handshake: func(m node.Message) (node.Handshake, bool) {
			if m.Handshake == nil {
				return node.Handshake{}, false
			}
			return *m.Handshake, true
		},
		ID: func(h node.Handshake) core.RouterID { return h.Router },
	}
}

// FleetProtocol returns the protocol between the routers of a fleet, with the
// messages of package fleet.
func FleetProtocol() peer.Protocol[fleet.Member, fleet.Message] {
	return peer.Protocol[fleet.Member, fleet.Message]{
		Encode:       EncodeFleetMessage,
		Decode:       DecodeFleetMessage,
		NewHandshake: func(m fleet.Member) fleet.Message { return fleet.Message{Handshake: &m} },
		Handshake: func(m fleet.Message) (fleet.Member, bool) {
			if m.Handshake == nil {
				return fleet.Member{}, false
			}
			return *m.Handshake, true
		},
		ID: func(m fleet.Member) core.RouterID { return m.ID },
	}
}
