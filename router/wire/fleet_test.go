package wire

import (
	"reflect"
	"testing"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/prefix"
)

var fleetMessages = []fleet.Message{
	{Hello: &fleet.Member{ID: "r1", Address: "10.0.0.1:7340", DataCentre: "a", Incarnation: 7}},
	{Beat: &fleet.Beat{
		Version: 3, Known: 2,
		Running: []fleet.Running{{Upstream: "u", Count: 4}},
		Resting: []fleet.Resting{{Upstream: "u", ForMS: 200}},
		Held:    []prefix.Held{{Upstream: "u", Part: prefix.Part{ID: 9, Tokens: 10}, Listed: true}},
		Crashes: []fleet.Crash{{Content: 5, Process: "u/1"}},
		Results: []fleet.Results{{Upstream: "u", Good: 3, Bad: 1}},
	}},
	{Read: &fleet.Read{From: 5, Next: 9, AgeMS: 12, Records: []fleet.Record{
		{Offset: 5, Upstream: "u", Source: []byte("{}")}, {Offset: 7, Upstream: "v"},
	}}},
	{Want: &fleet.Want{Version: 2, Held: true}},
	{Snapshot: &fleet.Snapshot{
		Catalog: []byte("c"), Entries: []fleet.EntryCopy{{Upstream: "u", Source: []byte("{}")}},
		Held: []prefix.Held{{Upstream: "u", Part: prefix.Part{ID: 9, Tokens: 10}}},
	}},
}

// TestFleetMessages checks that each message is equal after encoding and decoding.
func TestFleetMessages(t *testing.T) {
	for _, want := range fleetMessages {
		data, err := EncodeFleetMessage(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeFleetMessage(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("decoded message: got %+v, error %v, want %+v", got, err, want)
		}
	}
}

// FuzzFleet checks that no input makes the decoder panic.
func FuzzFleet(f *testing.F) {
	for _, m := range fleetMessages {
		data, err := EncodeFleetMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if _, err := DecodeFleetMessage(data); err != nil {
			return
		}
	})
}
