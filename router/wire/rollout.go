package wire

import (
	"math"
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
)

type fleetRolloutState struct {
	Pool       core.Pool `cbor:"1,keyasint"`
	Target     string    `cbor:"2,keyasint,omitempty"`
	DurationMS int64     `cbor:"3,keyasint,omitempty"`
	Offset     uint64    `cbor:"4,keyasint,omitempty"`
	Era        uint64    `cbor:"5,keyasint,omitempty"`
	Invalid    string    `cbor:"6,keyasint,omitempty"`

	Stage     rollout.Stage `cbor:"7,keyasint,omitempty"`
	Share     float64       `cbor:"8,keyasint,omitempty"`
	Sequence  uint64        `cbor:"9,keyasint,omitempty"`
	AgeMS     int64         `cbor:"10,keyasint,omitempty"`
	ChangedMS int64         `cbor:"11,keyasint,omitempty"`
	Reason    string        `cbor:"12,keyasint,omitempty"`
	Written   bool          `cbor:"13,keyasint,omitempty"`

	IssuedAgeMS int64         `cbor:"14,keyasint,omitempty"`
	Conductor   core.RouterID `cbor:"15,keyasint,omitempty"`
	Barred      []string      `cbor:"16,keyasint,omitempty"`
	BegunSeen   bool          `cbor:"17,keyasint,omitempty"`
}

type fleetRolloutSamples struct {
	Pool       core.Pool            `cbor:"1,keyasint"`
	Target     string               `cbor:"2,keyasint,omitempty"`
	Offset     uint64               `cbor:"3,keyasint,omitempty"`
	Era        uint64               `cbor:"4,keyasint,omitempty"`
	First      uint64               `cbor:"5,keyasint,omitempty"`
	Samples    []fleetRolloutSample `cbor:"6,keyasint,omitempty"`
	Stage      rollout.Stage        `cbor:"7,keyasint,omitempty"`
	OldRunning int                  `cbor:"8,keyasint,omitempty"`
}

type fleetRolloutSample struct {
	Route       string          `cbor:"1,keyasint,omitempty"`
	Size        int             `cbor:"2,keyasint,omitempty"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	New         bool            `cbor:"4,keyasint,omitempty"`
	Failed      bool            `cbor:"5,keyasint,omitempty"`
	FirstByteUS int64           `cbor:"6,keyasint,omitempty"`
	AgeMS       int64           `cbor:"7,keyasint,omitempty"`
}

func encodeRolloutState(m *fleet.RolloutState) *fleetRolloutState {
	if m == nil {
		return nil
	}
	s, o := m.State, m.State.Order
	return &fleetRolloutState{
		Pool: o.Pool, Target: o.Target, DurationMS: o.Duration.Milliseconds(), Offset: o.Offset, Era: o.Era, Invalid: o.Invalid,
		Stage: s.Stage, Share: s.Share, Sequence: s.Sequence, AgeMS: s.AgeMS, ChangedMS: s.ChangedMS, Reason: s.Reason, Written: s.Written,
		IssuedAgeMS: m.IssuedAgeMS, Conductor: m.Conductor, Barred: m.Barred, BegunSeen: m.BegunSeen,
	}
}

func decodeRolloutState(w *fleetRolloutState) *fleet.RolloutState {
	if w == nil {
		return nil
	}
	return &fleet.RolloutState{
		State: rollout.State{
			Order: rollout.Order{Pool: w.Pool, Target: w.Target, Duration: milliseconds(w.DurationMS), Offset: w.Offset, Era: w.Era, Invalid: w.Invalid},
			Stage: w.Stage, Share: w.Share, Sequence: w.Sequence, AgeMS: w.AgeMS, ChangedMS: w.ChangedMS, Reason: w.Reason, Written: w.Written,
		},
		IssuedAgeMS: w.IssuedAgeMS, Conductor: w.Conductor, Barred: w.Barred, BegunSeen: w.BegunSeen,
	}
}

// milliseconds returns a duration that a message states; the longest one if it is too long.
func milliseconds(ms int64) time.Duration {
	if ms > math.MaxInt64/int64(time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(max(ms, -1)) * time.Millisecond
}

// encodeRolloutStates and decodeRolloutStates return nil for an empty list, since most
// snapshots have none.
func encodeRolloutStates(all []fleet.RolloutState) []fleetRolloutState {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(m fleet.RolloutState, _ int) fleetRolloutState { return *encodeRolloutState(&m) })
}

func decodeRolloutStates(all []fleetRolloutState) []fleet.RolloutState {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(w fleetRolloutState, _ int) fleet.RolloutState { return *decodeRolloutState(&w) })
}

func encodeRolloutSamples(m *fleet.RolloutSamples) *fleetRolloutSamples {
	if m == nil {
		return nil
	}
	return &fleetRolloutSamples{
		Pool: m.Pool, Target: m.Target, Offset: m.Offset, Era: m.Era, First: m.First, Stage: m.Stage, OldRunning: m.OldRunning,
		Samples: lo.Map(m.Samples, func(s fleet.RolloutSample, _ int) fleetRolloutSample { return fleetRolloutSample(s) }),
	}
}

func decodeRolloutSamples(w *fleetRolloutSamples) *fleet.RolloutSamples {
	if w == nil {
		return nil
	}
	return &fleet.RolloutSamples{
		Pool: w.Pool, Target: w.Target, Offset: w.Offset, Era: w.Era, First: w.First, Stage: w.Stage, OldRunning: w.OldRunning,
		Samples: lo.Map(w.Samples, func(s fleetRolloutSample, _ int) fleet.RolloutSample { return fleet.RolloutSample(s) }),
	}
}
