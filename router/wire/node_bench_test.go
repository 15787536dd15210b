package wire

import (
	"fmt"
	"testing"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/datacentre"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/upstream"
)

// fleetSize is the size of a fleet in which one router is measured. Routers and
// upstreams are counted per data centre.
type fleetSize struct {
	dataCentres, routers, upstreams int
	// heldPermits is the number of permits that the measured router holds.
	heldPermits int
}

// BenchmarkHeartbeatInterval measures the time that a router needs for one heartbeat
// interval and the bytes that it sends in it, by the size of the fleet.
func BenchmarkHeartbeatInterval(b *testing.B) {
	for _, s := range []fleetSize{
		{4, 1, 4, 0}, {4, 2, 4, 0}, {4, 4, 4, 0}, {4, 4, 8, 0}, {4, 4, 8, 50}, {11, 9, 18, 50},
		{11, 18, 35, 100}, {11, 36, 70, 0}, {11, 36, 70, 215},
	} {
		b.Run(fmt.Sprintf("datacentres=%d/routers=%d/upstreams=%d/held=%d", s.dataCentres, s.routers, s.upstreams, s.heldPermits), func(b *testing.B) {
			n, now := s.newRouter(b)
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for _, o := range n.Tick(now).Outgoing {
					data, err := EncodeNodeMessage(o.Message)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/tick")
		})
	}
}

// newRouter returns a router of the first data centre that has received heartbeats
// of all others and holds heldPermits permits.
func (s fleetSize) newRouter(b *testing.B) (*node.Node, time.Time) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	sheet := config.Sheet{Pools: []pool.Pool{{Name: "model", Kind: pool.Model, Capacity: 128, ColdCapacity: 8, MaxRunTime: time.Hour}}}
	var routers []instance.Router
	var upstreams []upstream.Upstream
	for dc := range s.dataCentres {
		name := core.DataCentre(fmt.Sprintf("centre%d", dc))
		sheet.DataCentres = append(sheet.DataCentres, datacentre.DataCentre{Name: name, Region: "r", Seats: s.routers})
		for i := range s.routers {
			id := core.RouterID(fmt.Sprintf("router-%d-%d", dc, i))
			routers = append(routers, instance.Router{ID: id, DataCentre: name, Seat: core.Seat(i + 1)})
		}
		for i := range s.upstreams {
			id := core.UpstreamID(fmt.Sprintf("runner-%d-%d", dc, i))
			upstreams = append(upstreams, upstream.Upstream{ID: id, Pool: "model", DataCentre: name})
		}
	}
	n := node.New(now, node.Settings{
		ID: routers[0].ID, DataCentre: routers[0].DataCentre, Seat: 1, Incarnation: core.Incarnation(now.UnixMilli()),
		LeaseTiming: permit.LeaseTiming{Length: 10 * time.Second},
		Parse:       func([]byte) (config.Sheet, error) { return sheet, nil },
	})
	n.ApplySnapshot(now, config.Snapshot{Revision: config.Revision{Number: 1}, AsOf: 1})
	n.ApplyList(routers[1:], upstreams)
	now = now.Add(2 * time.Hour)
	s.deliverHeartbeats(n, now, routers)
	for i := range s.heldPermits {
		s.acquirePermit(b, n, now, upstreams[i%len(upstreams)].ID)
	}
	return n, now
}

// deliverHeartbeats delivers the handshake and a heartbeat of every other router.
func (s fleetSize) deliverHeartbeats(n *node.Node, now time.Time, routers []instance.Router) {
	n.Tick(now)
	for _, r := range routers[1:] {
		h := node.Handshake{Router: r.ID, DataCentre: r.DataCentre, Seat: r.Seat, Incarnation: core.Incarnation(now.UnixMilli())}
		n.Receive(now, h, node.Message{Handshake: &h})
		n.Receive(now, h, node.Message{Heartbeat: &node.Heartbeat{Stamp: 1, Echo: node.Stamp(n.Settings().Incarnation) + 7_200_000, ClaimsComplete: true}})
	}
	n.Tick(now)
}

// acquirePermit requests a permit for an upstream and delivers the coordinator's
// grant.
func (s fleetSize) acquirePermit(b *testing.B, n *node.Node, now time.Time, id core.UpstreamID) {
	answer, effects := n.Acquire(now, node.PermitSpec{Upstream: id, Account: "a", Weight: 1, Wait: time.Hour})
	if answer.Decision == permit.Denied {
		b.Fatalf("permit request for %s: got a denial, want a permit", id)
	}
	for _, o := range effects.Outgoing {
		h := node.Handshake{Router: o.To, Incarnation: core.Incarnation(now.UnixMilli())}
		n.Receive(now, h, node.Message{Grant: &node.Grant{
			RequestID: o.Message.PermitRequest.ID, Seq: answer.RequestID, Upstream: id, Owner: 1, Epoch: 7, Boot: "39e7a175", Echo: o.Message.PermitRequest.Stamp,
		}})
	}
}

// BenchmarkRequestMessages measures the encoding of the messages of one request whose
// permit another router grants.
func BenchmarkRequestMessages(b *testing.B) {
	all := fixtures(b)
	request, grant := all["permit-request.json"], all["grant.json"]
	release := node.Message{Release: &node.Release{Upstream: request.PermitRequest.Upstream, Seq: 77, Outcome: node.Responded}}
	bytes := 0
	for range b.N {
		for _, m := range []node.Message{request, grant, release} {
			data, err := EncodeNodeMessage(m)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/request")
}

// BenchmarkPermitDecision measures the decision on one permit request, by the size of
// the fleet.
func BenchmarkPermitDecision(b *testing.B) {
	for _, s := range []fleetSize{{4, 1, 4, 0}, {11, 36, 70, 215}} {
		b.Run(fmt.Sprintf("routers=%d", s.dataCentres*s.routers), func(b *testing.B) {
			n, now := s.newRouter(b)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				answer, _ := n.Acquire(now, node.PermitSpec{Upstream: "runner-0-1", Account: "a", Weight: 1})
				if answer.Decision == permit.Granted {
					n.Finish(now, answer.Held, node.Unused, "")
				} else {
					n.Withdraw(answer.RequestID, false)
				}
			}
		})
	}
}

// BenchmarkReceive measures the handling of one received heartbeat and of one
// received permit request, by the size of the fleet.
func BenchmarkReceive(b *testing.B) {
	for _, s := range []fleetSize{{4, 1, 4, 0}, {11, 36, 70, 215}} {
		n, now := s.newRouter(b)
		in := core.Incarnation(now.UnixMilli())
		h := node.Handshake{Router: core.RouterID(fmt.Sprintf("router-%d-0", s.dataCentres-1)), DataCentre: core.DataCentre(fmt.Sprintf("centre%d", s.dataCentres-1)), Seat: 1, Incarnation: in}
		heartbeat := fixtures(b)["heartbeat.json"]
		heartbeat.Heartbeat.Revision, heartbeat.Heartbeat.RequestClaims, heartbeat.Heartbeat.ShuttingDown = 1, false, false
		b.Run(fmt.Sprintf("heartbeat/routers=%d", s.dataCentres*s.routers), func(b *testing.B) {
			for range b.N {
				n.Receive(now, h, heartbeat)
			}
		})
		b.Run(fmt.Sprintf("permit-request/routers=%d", s.dataCentres*s.routers), func(b *testing.B) {
			for i := range b.N {
				n.Receive(now, h, node.Message{PermitRequest: &node.PermitRequest{ID: uint64(i), Stamp: 5, Upstream: "runner-0-1", Account: "a", Weight: 1}})
				n.Receive(now, h, node.Message{Release: &node.Release{Upstream: "runner-0-1", Seq: uint64(i + 1)}})
			}
		})
	}
}
