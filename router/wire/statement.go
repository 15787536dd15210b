package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

type fleetStatement struct {
	Upstream  core.UpstreamID `cbor:"1,keyasint"`
	StartedMS int64           `cbor:"2,keyasint,omitempty"`
	Named     bool            `cbor:"3,keyasint,omitempty"`
	PerSecond float64         `cbor:"4,keyasint,omitempty"`
	Leaving   bool            `cbor:"7,keyasint,omitempty"`
	AgeMS     int64           `cbor:"5,keyasint,omitempty"`

	FirstAgeMS int64   `cbor:"6,keyasint,omitempty"`
	Brittle    bool    `cbor:"8,keyasint,omitempty"`
	Rejections float64 `cbor:"9,keyasint,omitempty"`
}

type fleetQuotaRequest struct {
	Limit     fleetStatement `cbor:"1,keyasint"`
	Count     int            `cbor:"2,keyasint,omitempty"`
	Preferred bool           `cbor:"3,keyasint,omitempty"`
}

type fleetQuotaGrant struct {
	Limit     fleetStatement `cbor:"1,keyasint"`
	Count     int            `cbor:"2,keyasint,omitempty"`
	RetryMS   int64          `cbor:"3,keyasint,omitempty"`
	Preferred bool           `cbor:"4,keyasint,omitempty"`
}

// encodeStatements and decodeStatements return nil for an empty list, since most messages have
// none.
func encodeStatements(all []fleet.StatementReport) []fleetStatement {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleet.StatementReport, _ int) fleetStatement { return fleetStatement(r) })
}

func decodeStatements(all []fleetStatement) []fleet.StatementReport {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleetStatement, _ int) fleet.StatementReport { return fleet.StatementReport(r) })
}
