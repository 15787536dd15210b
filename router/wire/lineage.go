package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/lineage"
)

type fleetStreamRecord struct {
	Stream  core.Digest `cbor:"1,keyasint"`
	Pool    core.Pool   `cbor:"2,keyasint"`
	Certain bool        `cbor:"3,keyasint,omitempty"`
	Release string      `cbor:"4,keyasint,omitempty"`
	LeftMS  int64       `cbor:"5,keyasint"`
	// Builds before these fields ignore them.
	Upstream  core.UpstreamID `cbor:"6,keyasint,omitempty"`
	StartedMS int64           `cbor:"7,keyasint,omitempty"`
	AgeMS     int64           `cbor:"8,keyasint,omitempty"`
}

type fleetOriginRequest struct {
	Stream core.Digest `cbor:"1,keyasint"`
	Pool   core.Pool   `cbor:"2,keyasint"`
	LifeMS int64       `cbor:"3,keyasint"`
}

type fleetOriginReply struct {
	Stream    core.Digest       `cbor:"1,keyasint"`
	Knowledge lineage.Knowledge `cbor:"2,keyasint,omitempty"`
	Release   string            `cbor:"3,keyasint,omitempty"`
}

// encodeStreamRecords and decodeStreamRecords return nil for an empty list, since most
// messages have none.
func encodeStreamRecords(all []fleet.StreamRecord) []fleetStreamRecord {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleet.StreamRecord, _ int) fleetStreamRecord { return fleetStreamRecord(r) })
}

func decodeStreamRecords(all []fleetStreamRecord) []fleet.StreamRecord {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleetStreamRecord, _ int) fleet.StreamRecord { return fleet.StreamRecord(r) })
}

func encodeOriginReply(r *fleet.OriginReply) *fleetOriginReply {
	if r == nil {
		return nil
	}
	return &fleetOriginReply{Stream: r.Stream, Knowledge: r.Knowledge, Release: r.Release}
}

func decodeOriginReply(r *fleetOriginReply) *fleet.OriginReply {
	if r == nil {
		return nil
	}
	return &fleet.OriginReply{Stream: r.Stream, Report: lineage.Report{Knowledge: r.Knowledge, Release: r.Release}}
}
