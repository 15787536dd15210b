package wire

import (
	"testing"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
)

// FuzzReceive checks that no message of another router makes a fleet panic, whatever it
// states, and that the fleet can still send its own messages.
func FuzzReceive(f *testing.F) {
	for _, m := range fleetMessages {
		data, err := EncodeFleetMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	f.Fuzz(func(_ *testing.T, data []byte, local bool) {
		m, err := DecodeFleetMessage(data)
		if err != nil {
			return
		}
		r := fleet.New(start, fleet.Settings{
			ID: "r1", DataCentre: "a", MaxLoadFactor: 2, Drain: 2 * time.Second, Evacuation: 5 * time.Second,
			Rollout:      rollout.Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second},
			ParseCatalog: func([]byte) (*catalog.Catalog, error) { return &catalog.Catalog{Version: 3}, nil },
			ParseEntry:   func(id core.UpstreamID, _ []byte) (roster.Entry, error) { return roster.Entry{ID: id}, nil },
		})
		// The router grants the slots of a pool.
		r.ApplyCatalog(start, &catalog.Catalog{Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {Name: "p"}}})
		r.ApplyFullRead(start, start, 0, 0, []roster.Entry{{ID: "u", Pool: "p", Slots: 1}})
		r.AddMember(start, fleet.Member{ID: "r3", DataCentre: "a"})
		r.MarkMembersListed()
		from := fleet.Member{ID: "r2", DataCentre: "a"}
		if !local {
			from.DataCentre = "b"
		}
		for i := range 3 {
			now := start.Add(time.Duration(i) * time.Second)
			r.Receive(now, from, m)
			r.Outgoing(now)
			r.TickRollouts(now)
			r.StatusWork(now)
			r.ExpireSlots(now)
			r.TakeSlotReturns(now)
			r.Status(now)
			r.Readiness(now)
		}
	})
}
