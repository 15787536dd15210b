package wire

import (
	"fmt"
	"testing"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// BenchmarkHostPaces measures decoding and applying a message about one host at a router that
// knows 82 others.
func BenchmarkHostPaces(b *testing.B) {
	now := time.Unix(100, 0)
	f := fleet.New(now, fleet.Settings{ID: "router-0", DataCentre: "a"})
	var sender fleet.Member
	for i := range 82 {
		sender = fleet.Member{ID: core.RouterID(fmt.Sprintf("router-%d", i+1)), DataCentre: "a"}
		f.AddMember(now, sender)
	}
	data, err := EncodeFleetMessage(fleet.Message{SentMS: 100_000, HostPaces: []fleet.HostPace{{Upstream: "i-engines012", Hundredths: 250, AgeMS: 5}}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		m, err := DecodeFleetMessage(data)
		if err != nil {
			b.Fatal(err)
		}
		f.Receive(now, sender, m)
	}
}
