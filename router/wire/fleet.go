package wire

import (
	"github.com/samber/lo"

	"camphorpulley.org/base/record"
	"camphorpulley.org/core"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/fleet"
)

// The types in this file mirror message types of package fleet with CBOR keys added.
// Those whose fields are the same and in the same order are converted; the others
// are copied field by field.

type fleetMessage struct {
	Handshake       *fleetMember          `cbor:"1,keyasint,omitempty"`
	Heartbeat       *fleetHeartbeat       `cbor:"2,keyasint,omitempty"`
	SnapshotRequest *fleetSnapshotRequest `cbor:"3,keyasint,omitempty"`
	Snapshot        *fleetSnapshot        `cbor:"4,keyasint,omitempty"`
	Segment         *fleetSegment         `cbor:"5,keyasint,omitempty"`
	Digest          *fleetDigest          `cbor:"6,keyasint,omitempty"`
	FullUpstream    *fleetFullUpstream    `cbor:"7,keyasint,omitempty"`
	PartEvidence    []fleetEvidence       `cbor:"8,keyasint,omitempty"`
	BrokenPrompts   []fleetBrokenPrompt   `cbor:"24,keyasint,omitempty"`
	SentMS          int64                 `cbor:"9,keyasint,omitempty"`
	Statements      []fleetStatement      `cbor:"10,keyasint,omitempty"`
	QuotaRequest    *fleetQuotaRequest    `cbor:"11,keyasint,omitempty"`
	QuotaGrant      *fleetQuotaGrant      `cbor:"12,keyasint,omitempty"`
	StreamRecords   []fleetStreamRecord   `cbor:"13,keyasint,omitempty"`
	OriginRequest   *fleetOriginRequest   `cbor:"14,keyasint,omitempty"`
	OriginReply     *fleetOriginReply     `cbor:"15,keyasint,omitempty"`
	RolloutState    *fleetRolloutState    `cbor:"16,keyasint,omitempty"`
	RolloutSamples  *fleetRolloutSamples  `cbor:"17,keyasint,omitempty"`
	HostPaces       []fleetHostPace       `cbor:"23,keyasint,omitempty"`
	SlotRequest     *fleetSlotRequest     `cbor:"18,keyasint,omitempty"`
	SlotGrant       *fleetSlotGrant       `cbor:"19,keyasint,omitempty"`
	SlotReturns     []fleetSlotReturn     `cbor:"20,keyasint,omitempty"`
}

type fleetFullUpstream struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Load     int             `cbor:"2,keyasint"`
	PauseMS  int64           `cbor:"3,keyasint,omitempty"`
}

type fleetDigest struct {
	Heartbeat fleetHeartbeat    `cbor:"1,keyasint"`
	Sources   []fleetSource     `cbor:"2,keyasint,omitempty"`
	Members   []fleetSeenMember `cbor:"3,keyasint,omitempty"`
}

type fleetSource struct {
	DataCentre core.DataCentre `cbor:"1,keyasint"`
	Relay      core.RouterID   `cbor:"2,keyasint"`
	AgeMS      int64           `cbor:"3,keyasint,omitempty"`
}

type fleetSeenMember struct {
	Member fleetMember `cbor:"1,keyasint"`
	AgeMS  int64       `cbor:"2,keyasint,omitempty"`
}

type fleetMember struct {
	ID         core.RouterID   `cbor:"1,keyasint"`
	Address    string          `cbor:"2,keyasint"`
	DataCentre core.DataCentre `cbor:"3,keyasint"`

	Detour      string           `cbor:"5,keyasint,omitempty"`
	Incarnation core.Incarnation `cbor:"4,keyasint,omitempty"`
	Capacity    int              `cbor:"6,keyasint,omitempty"`
}

type fleetHeartbeat struct {
	Version            uint64            `cbor:"1,keyasint,omitempty"`
	UpstreamsInService int               `cbor:"2,keyasint,omitempty"`
	Running            []fleetRunning    `cbor:"3,keyasint,omitempty"`
	Ejections          []fleetEjection   `cbor:"4,keyasint,omitempty"`
	CachedParts        []fleetCachedPart `cbor:"5,keyasint,omitempty"`
	Crashes            []fleetCrash      `cbor:"6,keyasint,omitempty"`
	Results            []fleetResults    `cbor:"8,keyasint,omitempty"`
	Parts              []fleetEvidence   `cbor:"9,keyasint,omitempty"`
	Statements         []fleetStatement  `cbor:"10,keyasint,omitempty"`
	CutOff             []core.Pool       `cbor:"11,keyasint,omitempty"`
	VersionAgeMS       int64             `cbor:"12,keyasint,omitempty"`
	OperatorsEra       uint64            `cbor:"13,keyasint,omitempty"`
	OperatorsNext      uint64            `cbor:"14,keyasint,omitempty"`
}

type fleetResults struct {
	Upstream  core.UpstreamID `cbor:"1,keyasint"`
	Successes int             `cbor:"2,keyasint,omitempty"`
	Failures  int             `cbor:"3,keyasint,omitempty"`
}

type fleetRunning struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Count    int             `cbor:"2,keyasint"`
}

type fleetEjection struct {
	Upstream    core.UpstreamID `cbor:"1,keyasint"`
	RemainingMS int64           `cbor:"2,keyasint"`
}

type fleetCachedPart struct {
	Upstream      core.UpstreamID `cbor:"1,keyasint"`
	Part          core.Digest     `cbor:"2,keyasint"`
	Tokens        int             `cbor:"3,keyasint"`
	FromInventory bool            `cbor:"4,keyasint,omitempty"`
}

type fleetCrash struct {
	Content core.Digest `cbor:"1,keyasint"`
	Process string      `cbor:"2,keyasint"`
}

type fleetEntry struct {
	Upstream core.UpstreamID `cbor:"1,keyasint"`
	Source   []byte          `cbor:"2,keyasint"`
}

type fleetSegment struct {
	From    uint64        `cbor:"1,keyasint"`
	Next    uint64        `cbor:"2,keyasint"`
	AgeMS   int64         `cbor:"3,keyasint,omitempty"`
	Records []fleetRecord `cbor:"4,keyasint,omitempty"`
	Era     uint64        `cbor:"5,keyasint,omitempty"`
}

type fleetRecord struct {
	Offset   uint64          `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint"`
	Source   []byte          `cbor:"3,keyasint,omitempty"`
}

type fleetSnapshotRequest struct {
	Version         uint64 `cbor:"1,keyasint"`
	WithCachedParts bool   `cbor:"2,keyasint,omitempty"`
	CatalogOnly     bool   `cbor:"3,keyasint,omitempty"`
}

type fleetSnapshot struct {
	Catalog     []byte            `cbor:"1,keyasint,omitempty"`
	Entries     []fleetEntry      `cbor:"2,keyasint,omitempty"`
	CachedParts []fleetCachedPart `cbor:"3,keyasint,omitempty"`
	Removed     []fleetEntry      `cbor:"4,keyasint,omitempty"`
	Statements  []fleetStatement  `cbor:"5,keyasint,omitempty"`

	Rollouts []fleetRolloutState `cbor:"6,keyasint,omitempty"`
	Suspects []fleetSuspect      `cbor:"7,keyasint,omitempty"`
}

// EncodeFleetMessage encodes a message of package fleet.
func EncodeFleetMessage(m fleet.Message) ([]byte, error) {
	w := fleetMessage{SentMS: m.SentMS, Handshake: (*fleetMember)(m.Handshake), SnapshotRequest: (*fleetSnapshotRequest)(m.SnapshotRequest), FullUpstream: (*fleetFullUpstream)(m.FullUpstream)}
	w.Statements, w.HostPaces = encodeStatements(m.Statements), encodeHostPaces(m.HostPaces)
	w.StreamRecords, w.OriginRequest, w.OriginReply = encodeStreamRecords(m.StreamRecords), (*fleetOriginRequest)(m.OriginRequest), encodeOriginReply(m.OriginReply)
	w.RolloutState, w.RolloutSamples = encodeRolloutState(m.RolloutState), encodeRolloutSamples(m.RolloutSamples)
	w.SlotRequest, w.SlotGrant, w.SlotReturns = (*fleetSlotRequest)(m.SlotRequest), (*fleetSlotGrant)(m.SlotGrant), encodeSlotReturns(m.SlotReturns)
	if q := m.QuotaRequest; q != nil {
		w.QuotaRequest = &fleetQuotaRequest{Limit: fleetStatement(q.Limit), Count: q.Count, Preferred: q.Preferred}
	}
	if g := m.QuotaGrant; g != nil {
		w.QuotaGrant = &fleetQuotaGrant{Limit: fleetStatement(g.Limit), Count: g.Count, RetryMS: g.RetryMS, Preferred: g.Preferred}
	}
	if b := m.Heartbeat; b != nil {
		w.Heartbeat = encodeFleetHeartbeat(*b)
	}
	if p := m.PartEvidence; p != nil {
		w.PartEvidence, w.BrokenPrompts = encodeEvidence(p.Parts), encodeBrokenPrompts(p.Prompts)
	}
	if s := m.Snapshot; s != nil {
		w.Snapshot = &fleetSnapshot{Catalog: s.Catalog, Entries: encodeEntries(s.Entries), Removed: encodeEntries(s.Removed), Statements: encodeStatements(s.Statements), CachedParts: encodeCachedParts(s.CachedParts), Suspects: encodeSuspects(s.Suspects), Rollouts: encodeRolloutStates(s.Rollouts)}
	}
	if r := m.Segment; r != nil {
		w.Segment = &fleetSegment{Era: r.Era, From: r.From, Next: r.Next, AgeMS: r.AgeMS, Records: encodeRecords(r.Records)}
	}
	if d := m.Digest; d != nil {
		w.Digest = &fleetDigest{
			Heartbeat: *encodeFleetHeartbeat(d.Heartbeat),
			Sources:   lo.Map(d.Sources, func(s fleet.Source, _ int) fleetSource { return fleetSource(s) }),
			Members: lo.Map(d.Members, func(s fleet.SeenMember, _ int) fleetSeenMember {
				return fleetSeenMember{Member: fleetMember(s.Member), AgeMS: s.AgeMS}
			}),
		}
	}
	return record.Encode(w)
}

func encodeFleetHeartbeat(b fleet.Heartbeat) *fleetHeartbeat {
	return &fleetHeartbeat{
		Version: b.Version, VersionAgeMS: b.VersionAgeMS, UpstreamsInService: b.UpstreamsInService,
		OperatorsEra: b.Operators.Era, OperatorsNext: b.Operators.Next,
		Running:     lo.Map(b.Running, func(r fleet.Running, _ int) fleetRunning { return fleetRunning(r) }),
		Ejections:   lo.Map(b.Ejections, func(r fleet.Ejection, _ int) fleetEjection { return fleetEjection(r) }),
		CachedParts: encodeCachedParts(b.CachedParts),
		Crashes:     lo.Map(b.Crashes, func(c fleet.Crash, _ int) fleetCrash { return fleetCrash(c) }),
		Results:     lo.Map(b.Results, func(r fleet.ResultCount, _ int) fleetResults { return fleetResults(r) }),
		Parts:       encodeEvidence(b.Parts),
		Statements:  encodeStatements(b.Statements),
		CutOff:      b.CutOff,
	}
}

func decodeFleetHeartbeat(b fleetHeartbeat) *fleet.Heartbeat {
	return &fleet.Heartbeat{
		Version: b.Version, VersionAgeMS: b.VersionAgeMS, UpstreamsInService: b.UpstreamsInService,
		Operators:   feed.Position{Era: b.OperatorsEra, Next: b.OperatorsNext},
		Running:     lo.Map(b.Running, func(r fleetRunning, _ int) fleet.Running { return fleet.Running(r) }),
		Ejections:   lo.Map(b.Ejections, func(r fleetEjection, _ int) fleet.Ejection { return fleet.Ejection(r) }),
		CachedParts: decodeCachedParts(b.CachedParts),
		Crashes:     lo.Map(b.Crashes, func(c fleetCrash, _ int) fleet.Crash { return fleet.Crash(c) }),
		Results:     lo.Map(b.Results, func(r fleetResults, _ int) fleet.ResultCount { return fleet.ResultCount(r) }),
		Parts:       decodeEvidence(b.Parts),
		Statements:  decodeStatements(b.Statements),
		CutOff:      b.CutOff,
	}
}

// DecodeFleetMessage decodes a message of package fleet. It returns an error if the
// data is not a valid CBOR message.
func DecodeFleetMessage(data []byte) (fleet.Message, error) {
	w, err := record.Decode[fleetMessage](data)
	if err != nil {
		return fleet.Message{}, err
	}
	m := fleet.Message{SentMS: w.SentMS, Handshake: (*fleet.Member)(w.Handshake), SnapshotRequest: (*fleet.SnapshotRequest)(w.SnapshotRequest), FullUpstream: (*fleet.FullUpstream)(w.FullUpstream)}
	m.Statements, m.HostPaces = decodeStatements(w.Statements), decodeHostPaces(w.HostPaces)
	m.StreamRecords, m.OriginRequest, m.OriginReply = decodeStreamRecords(w.StreamRecords), (*fleet.OriginRequest)(w.OriginRequest), decodeOriginReply(w.OriginReply)
	m.RolloutState, m.RolloutSamples = decodeRolloutState(w.RolloutState), decodeRolloutSamples(w.RolloutSamples)
	m.SlotRequest, m.SlotGrant, m.SlotReturns = (*fleet.SlotRequest)(w.SlotRequest), (*fleet.SlotGrant)(w.SlotGrant), decodeSlotReturns(w.SlotReturns)
	if q := w.QuotaRequest; q != nil {
		m.QuotaRequest = &fleet.QuotaRequest{Limit: fleet.StatementReport(q.Limit), Count: q.Count, Preferred: q.Preferred}
	}
	if g := w.QuotaGrant; g != nil {
		m.QuotaGrant = &fleet.QuotaGrant{Limit: fleet.StatementReport(g.Limit), Count: g.Count, RetryMS: g.RetryMS, Preferred: g.Preferred}
	}
	if b := w.Heartbeat; b != nil {
		m.Heartbeat = decodeFleetHeartbeat(*b)
	}
	if len(w.PartEvidence)+len(w.BrokenPrompts) > 0 {
		m.PartEvidence = &fleet.PartEvidence{Parts: decodeEvidence(w.PartEvidence), Prompts: decodeBrokenPrompts(w.BrokenPrompts)}
	}
	if s := w.Snapshot; s != nil {
		m.Snapshot = &fleet.Snapshot{Catalog: s.Catalog, Entries: decodeEntries(s.Entries), Removed: decodeEntries(s.Removed), Statements: decodeStatements(s.Statements), CachedParts: decodeCachedParts(s.CachedParts), Suspects: decodeSuspects(s.Suspects), Rollouts: decodeRolloutStates(s.Rollouts)}
	}
	if r := w.Segment; r != nil {
		m.Segment = &fleet.FeedSegment{Era: r.Era, From: r.From, Next: r.Next, AgeMS: r.AgeMS, Records: decodeRecords(r.Records)}
	}
	if d := w.Digest; d != nil {
		m.Digest = &fleet.Digest{
			Heartbeat: *decodeFleetHeartbeat(d.Heartbeat),
			Sources:   lo.Map(d.Sources, func(s fleetSource, _ int) fleet.Source { return fleet.Source(s) }),
			Members: lo.Map(d.Members, func(s fleetSeenMember, _ int) fleet.SeenMember {
				return fleet.SeenMember{Member: fleet.Member(s.Member), AgeMS: s.AgeMS}
			}),
		}
	}
	return m, nil
}
