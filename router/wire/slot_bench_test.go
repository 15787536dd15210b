package wire

import (
	"strconv"
	"testing"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// BenchmarkDispatcher measures what one request costs the dispatcher of a pool among 83 routers: it
// decodes the question, decides and encodes the grant, and takes the slot back. The sockets are left
// out.
func BenchmarkDispatcher(b *testing.B) {
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	f := fleet.New(now, fleet.Settings{ID: "r0", DataCentre: "a", MaxLoadFactor: 2})
	f.ApplyCatalog(now, &catalog.Catalog{Version: 1, Pools: map[core.Pool]catalog.Pool{"boards": {Name: "boards"}}})
	var entries []roster.Entry
	for i := range 3 {
		entries = append(entries, roster.Entry{ID: core.UpstreamID("i-boards" + strconv.Itoa(i)), Pool: "boards", Slots: 6})
	}
	f.ApplyFullRead(now, now, 0, 0, entries)
	members := make([]fleet.Member, 83)
	for i := range members {
		members[i] = fleet.Member{ID: core.RouterID("router-" + strconv.Itoa(i+1)), DataCentre: "a"}
		f.AddMember(now, members[i])
		f.Receive(now, members[i], fleet.Message{Heartbeat: &fleet.Heartbeat{Version: 1}})
	}
	f.MarkMembersListed()
	encode := func(m fleet.Message) []byte {
		data, err := EncodeFleetMessage(m)
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	receive := func(from fleet.Member, data []byte) fleet.Effects {
		m, err := DecodeFleetMessage(data)
		if err != nil {
			b.Fatal(err)
		}
		return f.Receive(now, from, m)
	}
	granted := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(4 * time.Millisecond)
		from, number := members[i%len(members)], uint64(i+1)
		q := encode(fleet.Message{SlotRequest: &fleet.SlotRequest{Pool: "boards", Number: number, Rank: 1, Account: "team", DataCentre: "a", ObjectiveMS: 150, DeadlineMS: 9000}})
		for _, e := range receive(from, q).Forward {
			if g := e.Message.SlotGrant; g != nil && g.Upstream != "" {
				granted++
			}
			encode(e.Message)
		}
		r := encode(fleet.Message{SlotReturns: []fleet.SlotReturn{{Pool: "boards", Number: number, Outcome: 1, RanUS: 30000}}})
		receive(from, r)
	}
	b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
}
