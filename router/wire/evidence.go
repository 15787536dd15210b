package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
)

type fleetEvidence struct {
	Part       core.Digest   `cbor:"1,keyasint"`
	Strikes    []fleetStrike `cbor:"2,keyasint,omitempty"`
	Probes     int           `cbor:"3,keyasint,omitempty"`
	ProbeAgeMS int64         `cbor:"4,keyasint,omitempty"`
	UsedAgeMS  int64         `cbor:"5,keyasint,omitempty"`
}

type fleetStrike struct {
	Process string      `cbor:"1,keyasint"`
	Request core.Digest `cbor:"2,keyasint,omitempty"`
	AgeMS   int64       `cbor:"3,keyasint,omitempty"`
	Cleared bool        `cbor:"4,keyasint,omitempty"`
}

type fleetBrokenPrompt struct {
	Process string        `cbor:"1,keyasint"`
	Request core.Digest   `cbor:"2,keyasint,omitempty"`
	Parts   []core.Digest `cbor:"3,keyasint,omitempty"`
	AgeMS   int64         `cbor:"4,keyasint,omitempty"`
}

type fleetSuspect struct {
	Content   core.Digest `cbor:"1,keyasint"`
	Processes []string    `cbor:"2,keyasint,omitempty"`
	LeftMS    int64       `cbor:"3,keyasint"`
}

// encodeSuspects and decodeSuspects return nil for an empty list, since most snapshots have none.
func encodeSuspects(all []poison.SuspectReport) []fleetSuspect {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r poison.SuspectReport, _ int) fleetSuspect { return fleetSuspect(r) })
}

func decodeSuspects(all []fleetSuspect) []poison.SuspectReport {
	if len(all) == 0 {
		return nil
	}
	return lo.Map(all, func(r fleetSuspect, _ int) poison.SuspectReport { return poison.SuspectReport(r) })
}

func encodeBrokenPrompts(all []poison.BrokenPrompt) []fleetBrokenPrompt {
	return lo.Map(all, func(b poison.BrokenPrompt, _ int) fleetBrokenPrompt { return fleetBrokenPrompt(b) })
}

func decodeBrokenPrompts(all []fleetBrokenPrompt) []poison.BrokenPrompt {
	return lo.Map(all, func(b fleetBrokenPrompt, _ int) poison.BrokenPrompt { return poison.BrokenPrompt(b) })
}

func encodeEvidence(all []poison.Evidence) []fleetEvidence {
	return lo.Map(all, func(e poison.Evidence, _ int) fleetEvidence {
		return fleetEvidence{
			Part: e.Part, Probes: e.Probes, ProbeAgeMS: e.ProbeAgeMS, UsedAgeMS: e.UsedAgeMS,
			Strikes: lo.Map(e.Strikes, func(s poison.Strike, _ int) fleetStrike { return fleetStrike(s) }),
		}
	})
}

func decodeEvidence(all []fleetEvidence) []poison.Evidence {
	return lo.Map(all, func(e fleetEvidence, _ int) poison.Evidence {
		return poison.Evidence{
			Part: e.Part, Probes: e.Probes, ProbeAgeMS: e.ProbeAgeMS, UsedAgeMS: e.UsedAgeMS,
			Strikes: lo.Map(e.Strikes, func(s fleetStrike, _ int) poison.Strike { return poison.Strike(s) }),
		}
	})
}
