package wire

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/node"
	"camphorpulley.org/router/peer"
)

// Peers returns what the routers with permits say to each other.
func Peers() peer.Protocol[node.Hello, node.Message] {
	return peer.Protocol[node.Hello, node.Message]{
		Encode: Encode,
		Decode: Decode,
		Greet:  func(h node.Hello) node.Message { return node.Message{Hello: &h} },
		Greeting: func(m node.Message) (node.Hello, bool) {
			if m.Hello == nil {
				return node.Hello{}, false
			}
			return *m.Hello, true
		},
		ID: func(h node.Hello) core.RouterID { return h.Router },
	}
}

// Fleet returns what the routers of a fleet say to each other.
func Fleet() peer.Protocol[fleet.Member, fleet.Message] {
	return peer.Protocol[fleet.Member, fleet.Message]{
		Encode: EncodeFleet,
		Decode: DecodeFleet,
		Greet:  func(m fleet.Member) fleet.Message { return fleet.Message{Hello: &m} },
		Greeting: func(m fleet.Message) (fleet.Member, bool) {
			if m.Hello == nil {
				return fleet.Member{}, false
			}
			return *m.Hello, true
		},
		ID: func(m fleet.Member) core.RouterID { return m.ID },
	}
}
