package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Message is a message between routers. Exactly one of the pointers and lists is not nil.
type Message struct {
	// SentMS is the time from the sender's start until it sent the message in
	// milliseconds; zero if it isn't stated.
	SentMS          int64
	Handshake       *Member
	Heartbeat       *Heartbeat
	SnapshotRequest *SnapshotRequest
	Snapshot        *Snapshot
	Segment         *FeedSegment
	Digest          *Digest
	FullUpstream    *FullUpstream
	PartEvidence    *PartEvidence
	Statements      []StatementReport
	QuotaRequest    *QuotaRequest
	QuotaGrant      *QuotaGrant
	StreamRecords   []StreamRecord
	OriginRequest   *OriginRequest
	OriginReply     *OriginReply
	RolloutState    *RolloutState
	RolloutSamples  *RolloutSamples
	HostPaces       []HostPace
	SlotRequest     *SlotRequest
	SlotGrant       *SlotGrant
	SlotReturns     []SlotReturn
}

// Kind returns the name of the message's kind, for metrics; empty if it has no content.
func (m Message) Kind() string {
	switch {
	case m.Handshake != nil:
		return "handshake"
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.SnapshotRequest != nil:
		return "snapshot_request"
	case m.Snapshot != nil:
		return "snapshot"
	case m.Segment != nil:
		return "segment"
	case m.Digest != nil:
		return "digest"
	case m.FullUpstream != nil:
		return "full_upstream"
	case m.PartEvidence != nil:
		return "part_evidence"
	case len(m.Statements) > 0:
		return "statements"
	case m.QuotaRequest != nil:
		return "quota_request"
	case m.QuotaGrant != nil:
		return "quota_grant"
	case len(m.StreamRecords) > 0:
		return "stream_records"
	case m.OriginRequest != nil:
		return "origin_request"
	case m.OriginReply != nil:
		return "origin_reply"
	case m.RolloutState != nil:
		return "rollout_state"
	case m.RolloutSamples != nil:
		return "rollout_samples"
	case len(m.HostPaces) > 0:
		return "host_paces"
	case m.SlotRequest != nil:
		return "slot_request"
	case m.SlotGrant != nil:
		return "slot_grant"
	case len(m.SlotReturns) > 0:
		return "slot_returns"
	}
	return ""
}

// Effects are the changes that a message has made, and the reply to it.
type Effects struct {
	// Reply is the reply; nil if the message needs none.
	Reply *Message
	// Forward holds messages to other routers.
	Forward []Envelope
	Changes []roster.Change
	// PartChanges are the parts of prompts from which on requests are refused, or no
	// longer are.
	PartChanges []poison.Change
	// StatementChanges are the limits of upstreams that have begun, changed or ended.
	StatementChanges []StatementChange
	// RolloutChanges are those of roll-outs.
	RolloutChanges []RolloutChange
	// QuotaFor is the limited upstream for which a response has come; empty if none has.
	QuotaFor core.UpstreamID
	// Origin is what another router knows of the beginning of a stream; nil if none has
	// replied.
	Origin *OriginReply
	// SlotAnswers are those to this router's requests for slots.
	SlotAnswers []SlotAnswer
	// SlotsWaiting is true if requests wait for a slot that this router grants.
	SlotsWaiting bool
	// Version is that of the catalog that came into force; zero if none did.
	Version uint64
	// Errors are those of catalogs and entries that could not be parsed.
	Errors []error
}

// Receive applies a message from another router and returns its effects.
func (f *Fleet) Receive(now time.Time, from Member, m Message) Effects {
	f.markMemberSeen(now, from)
	delayMS := f.recordTransit(now, from, m.SentMS)
	switch {
	case m.Heartbeat != nil:
		changes := f.mergeStatements(now, m.Heartbeat.Statements, delayMS)
		e := f.applyHeartbeat(now, from, *m.Heartbeat)
		e.StatementChanges = changes
		return e
	case m.SnapshotRequest != nil:
		return Effects{Reply: &Message{Snapshot: f.snapshot(now, *m.SnapshotRequest)}}
	case m.Snapshot != nil:
		e := f.applySnapshot(now, *m.Snapshot, delayMS)
		e.StatementChanges = f.mergeStatements(now, m.Snapshot.Statements, delayMS)
		return e
	case m.Segment != nil:
		segment := *m.Segment
		segment.AgeMS += delayMS
		e := f.applyPeerSegment(now, segment)
		e.Forward = f.passOn(now, from, Message{Segment: &segment})
		return e
	case m.Digest != nil:
		changes := f.mergeStatements(now, m.Digest.Heartbeat.Statements, delayMS)
		e := f.applyDigest(now, from, *m.Digest)
		e.StatementChanges = changes
		return e
	case len(m.Statements) > 0:
		return Effects{StatementChanges: f.mergeStatements(now, m.Statements, delayMS), Forward: f.passOn(now, from, m)}
	case m.QuotaRequest != nil:
		return f.grantQuota(now, *m.QuotaRequest, delayMS)
	case m.QuotaGrant != nil:
		return f.applyGrant(now, *m.QuotaGrant, delayMS)
	case len(m.StreamRecords) > 0:
		f.keepRecords(now, m.StreamRecords)
		return Effects{}
	case m.OriginRequest != nil:
		return Effects{Reply: f.replyOrigin(now, *m.OriginRequest)}
	case m.OriginReply != nil:
		return Effects{Origin: m.OriginReply}
	}
	return f.receiveObservation(now, from, m, delayMS)
}

// receiveObservation applies what another router has told all others at once of an upstream or
// of a part of a prompt, and passes it on.
func (f *Fleet) receiveObservation(now time.Time, from Member, m Message, delayMS int64) Effects {
	switch {
	case m.FullUpstream != nil:
		f.applyFullUpstream(now, *m.FullUpstream, delayMS)
		return Effects{Forward: f.passOn(now, from, m)}
	case len(m.HostPaces) > 0:
		return Effects{Forward: f.passOnPaces(now, from, f.mergePaces(now, m.HostPaces, delayMS))}
	case m.PartEvidence != nil:
		changes := append(f.mergePrompts(now, m.PartEvidence.Prompts), f.mergeEvidence(now, m.PartEvidence.Parts)...)
		return Effects{PartChanges: changes, Forward: f.passOn(now, from, m)}
	}
	if m.RolloutState != nil || m.RolloutSamples != nil {
		return f.receiveRollout(now, from, m, delayMS)
	}
	return f.receiveSlots(now, from.ID, m, delayMS)
}

// versionAndAge returns the version of the catalog in force, zero if there is none, and the time
// in milliseconds since a router is first known to have applied it.
func (f *Fleet) versionAndAge(now time.Time) (version uint64, ageMS int64) {
	f.catalog.Do(table.Hold{}, func(_ table.Hold, t *catalogs) {
		if c := t.latest.Current; c != nil {
			version, ageMS = c.Version, max(now.Sub(t.appliedAt).Milliseconds(), 0)
		}
	})
	return version, ageMS
}

// CatalogVersion returns the version of the catalog in force; zero if there is none.
func (f *Fleet) CatalogVersion() uint64 {
	if c := f.Catalog(); c != nil {
		return c.Version
	}
	return 0
}
