package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

type fleetSlotRequest struct {
	Pool        core.Pool         `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"`
	Rank        int               `cbor:"3,keyasint,omitempty"`
	Account     core.Account      `cbor:"4,keyasint,omitempty"`
	DataCentre  core.DataCentre   `cbor:"5,keyasint,omitempty"`
	ObjectiveMS int64             `cbor:"6,keyasint,omitempty"`
	DeadlineMS  int64             `cbor:"7,keyasint,omitempty"`
	Excluded    []core.UpstreamID `cbor:"8,keyasint,omitempty"`
	Runs        int               `cbor:"9,keyasint,omitempty"`
	Stream      bool              `cbor:"10,keyasint,omitempty"`
}

type fleetSlotGrant struct {
	Pool     core.Pool       `cbor:"1,keyasint"`
	Number   uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint,omitempty"`
	WaitMS   int64           `cbor:"4,keyasint,omitempty"`
	RetryMS  int64           `cbor:"5,keyasint,omitempty"`
	Alone    bool            `cbor:"6,keyasint,omitempty"`
}

type fleetSlotReturn struct {
	Pool    core.Pool `cbor:"1,keyasint"`
	Number  uint64    `cbor:"2,keyasint"`
	Outcome int       `cbor:"3,keyasint,omitempty"`
	RanUS   int64     `cbor:"4,keyasint,omitempty"`
}

func encodeSlotReturns(all []fleet.SlotReturn) []fleetSlotReturn {
	return lo.Map(all, func(r fleet.SlotReturn, _ int) fleetSlotReturn { return fleetSlotReturn(r) })
}

func decodeSlotReturns(all []fleetSlotReturn) []fleet.SlotReturn {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleetSlotReturn, _ int) fleet.SlotReturn { return fleet.SlotReturn(r) })
}
