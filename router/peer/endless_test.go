package peer_test

import (
	"testing"
	"time"

	"camphorpulley.org/base/dial/dialtest"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/peer"
	"camphorpulley.org/router/wire"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// TestEndlessHandshake guards against processes that end by themselves: what listens at the
// address of another router answers the handshake without end.
func TestEndlessHandshake(t *testing.T) {
	dialtest.Endless(t, 16<<20, func(address string) error {
		disconnected := make(chan struct{}, 1)
		n := peer.New(t.Context(), fleet.Member{ID: "a"}, zap.NewNop(), wire.FleetProtocol(), peer.Handler[fleet.Member, fleet.Message]{
			Receive:      func(fleet.Member, fleet.Message) {},
			Disconnected: func(core.RouterID) { disconnected <- struct{}{} },
			Address:      func(core.RouterID) string { return address },
		})
		n.Send("b", fleet.Message{SnapshotRequest: &fleet.SnapshotRequest{Version: 1}})
		select {
		case <-disconnected:
			return errors.New("the connection has failed")
		case <-time.After(5 * time.Second):
			return nil
		}
	})
}
