package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/wire"
)

// router is a network whose received messages are kept by kind.
type router struct {
	*peer.Network[fleet.Member, fleet.Message]
	received chan string
	address  string
}

// addresses holds the address of each router by its id.
type addresses struct {
	mu   sync.Mutex
	byID map[core.RouterID]string
}

func (a *addresses) get(id core.RouterID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// newRouter returns a router that doesn't listen yet.
func newRouter(t *testing.T, id core.RouterID, all *addresses) *router {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	all.mu.Lock()
	all.byID[id] = address
	all.mu.Unlock()
	r := &router{received: make(chan string, 100), address: address}
	r.Network = peer.New(t.Context(), fleet.Member{ID: id}, zap.NewNop(), wire.FleetProtocol(), peer.Handler[fleet.Member, fleet.Message]{
		Receive:      func(_ fleet.Member, m fleet.Message) { r.received <- m.Kind() },
		Disconnected: func(core.RouterID) {},
		Address:      all.get,
	})
	return r
}

// awaitKind waits until a message of a kind has arrived.
func (r *router) awaitKind(t *testing.T, kind string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		select {
		case got := <-r.received:
			if got == kind {
				return
			}
		case <-ctx.Done():
			t.Fatalf("got no message of kind %s within 5 s, want one", kind)
		}
	}
}

// awaitListening waits until the router listens.
func (r *router) awaitListening(t *testing.T) {
	t.Helper()
	for range 500 {
		if c, err := net.Dial("tcp4", r.address); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no listener on %s within 5 s, want one", r.address)
}

// TestReplyToStartedRouter guards against losing the reply to a router that has just started
// because it couldn't be dialled shortly before.
func TestReplyToStartedRouter(t *testing.T) {
	all := &addresses{byID: map[core.RouterID]string{}}
	a, b := newRouter(t, "a", all), newRouter(t, "b", all)
	go func() { _ = a.Serve(a.address) }()
	request := fleet.Message{SnapshotRequest: &fleet.SnapshotRequest{Version: 1}}
	// Router b doesn't listen yet: the message is lost, and a pauses before it dials again.
	a.Send("b", request)
	time.Sleep(50 * time.Millisecond)
	go func() { _ = b.Serve(b.address) }()
	b.awaitListening(t)
	b.Send("a", request)
	a.awaitKind(t, "snapshot_request")
	a.Send("b", fleet.Message{OriginReply: &fleet.OriginReply{Stream: 1}})
	b.awaitKind(t, "origin_reply")
}
