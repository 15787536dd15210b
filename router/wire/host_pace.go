package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

type fleetHostPace struct {
	Upstream   core.UpstreamID `cbor:"1,keyasint"`
	Hundredths int             `cbor:"2,keyasint"`
	AgeMS      int64           `cbor:"3,keyasint,omitempty"`
}

// encodeHostPaces and decodeHostPaces return nil for an empty list, since most messages have
// none.
func encodeHostPaces(all []fleet.HostPace) []fleetHostPace {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(p fleet.HostPace, _ int) fleetHostPace { return fleetHostPace(p) })
}

func decodeHostPaces(all []fleetHostPace) []fleet.HostPace {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(p fleetHostPace, _ int) fleet.HostPace { return fleet.HostPace(p) })
}
