package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/permit"
)

// Stamp is a time on one router's clock: the router's start in milliseconds
// since the Unix epoch plus the milliseconds passed since. Zero means none.
// Stamps of a router's earlier processes are lower than its incarnation.
type Stamp int64

// Message is a message from one router to another. Exactly one field is set.
type Message struct {
	Handshake     *Handshake
	Heartbeat     *Heartbeat
	PermitRequest *PermitRequest
	Grant         *Grant
	Deny          *Deny
	Cancel        *Cancel
	Release       *Release
	Snapshot      *config.Snapshot
	Suspect       *SuspectUpdate
	Ping          *Ping
}

// Ping sends a coordinator the current stamp while a permit request waits there,
// so that a permit granted after the wait may still be used.
type Ping struct {
	Stamp Stamp
}

// Handshake is the first message on a connection. It identifies the sender.
type Handshake struct {
	Router      core.RouterID
	DataCentre  core.DataCentre
	Seat        core.Seat
	Address     string
	Incarnation core.Incarnation
}

// Heartbeat is sent at every heartbeat interval, to routers of other data centres
// in rotation, and at once if the receiver has requested claims. It carries all
// state that need not be sent at once.
type Heartbeat struct {
	Stamp Stamp
	// Echo is the last stamp that was received from the receiver.
	Echo     Stamp
	Revision core.Offset
	// ShuttingDown is true while the sender should not be chosen as coordinator:
	// also while it is superseded or does not yet know what earlier processes in
	// its seat have leased out.
	ShuttingDown bool
	// LiveSeats has a bit for each live seat of the sender's data centre, the
	// first seat lowest. It is sent to routers of other data centres only.
	LiveSeats uint64
	Running   []PoolPermits
	// Leases are the units that the sender leases to the receiver as
	// coordinator.
	Leases []Lease
	// Confirmed are the units of the receiver's leases that the sender, as
	// coordinator, may still use.
	Confirmed []Confirmed
	// Health is the state of the upstreams that the sender coordinates.
	Health []Health
	// Held lists the permits that the sender holds from the receiver as
	// coordinator.
	Held []permit.HolderReport
	// ClaimsComplete reports that Claims lists all permits that the sender holds
	// on units of the receiver.
	ClaimsComplete bool
	Claims         []permit.Claim
	// RequestClaims asks the receiver to send its claims at once.
	RequestClaims bool
}

// PoolPermits is the number of a pool's permits that the sender holds.
type PoolPermits struct {
	Pool  core.Pool
	Count int
}

// Lease is the sender's lease of one upstream's units to the receiver, from which
// the receiver makes a permit.Allocation.
type Lease struct {
	Upstream    core.UpstreamID
	Epoch       uint64
	Units       int
	Outstanding int
}

// Confirmed is the number of units of a lease that its coordinator may still
// use, as reported to the owner.
type Confirmed struct {
	Upstream core.UpstreamID
	Epoch    uint64
	Units    int
}

// Health is the state of an upstream as its coordinator records it.
type Health struct {
	Upstream core.UpstreamID
	Boot     string
	// AgeMS is the time since the ramp started, in milliseconds; negative if it
	// has not started.
	AgeMS int64
	Down  bool
}

// PermitRequest requests a permit from a coordinator.
type PermitRequest struct {
	ID       uint64
	Stamp    Stamp
	Upstream core.UpstreamID
	Account  core.Account
	Weight   int
	Priority int
	Suspect  bool
	// WaitMS is how long the sender waits, in milliseconds; zero requests an
	// immediate decision.
	WaitMS int64
	// Running is the number of the pool's permits that the sender holds, including
	// the requested one.
	Running int
}

// Grant grants the permit for a request.
type Grant struct {
	RequestID uint64
	Seq       uint64
	Upstream  core.UpstreamID
	Owner     core.Seat
	Epoch     uint64
	Boot      string
	// Echo is the last stamp that the coordinator had received from the
	// requester.
	Echo Stamp
}

// Deny denies a permit request.
type Deny struct {
	RequestID uint64
}

// Cancel withdraws a permit request.
type Cancel struct {
	RequestID uint64
	Upstream  core.UpstreamID
}

// Release returns a permit.
type Release struct {
	Upstream core.UpstreamID
	Seq      uint64
	Outcome  Outcome
	Boot     string
}

// Outcome is what the holder of a permit observed of the upstream.
type Outcome int

const (
	// Unused means that nothing was sent on the permit.
	Unused Outcome = iota
	// Responded means that the upstream responded.
	Responded
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// ConnectionBroken means that the connection broke.
	ConnectionBroken
)

// SuspectUpdate reports that a request was running when an upstream's process
// crashed or, with Clear, that it has since completed.
type SuspectUpdate struct {
	Digest  core.Digest
	Process string
	Clear   bool
}

// Envelope is a message to be sent and its receiver.
type Envelope struct {
	To      core.RouterID
	Message Message
}

// Reply is the decision on a permit request that Acquire left pending.
type Reply struct {
	RequestID uint64
	Granted   bool
	Held      permit.Held
}

// Effects are the actions that a front end carries out after a decision.
type Effects struct {
	Outgoing []Envelope
	Replies  []Reply
	// Probes are the upstreams from which a load report is requested.
	Probes []core.UpstreamID
	// RevisionApplied is true if another revision has come into force.
	RevisionApplied bool
}

func (e *Effects) send(to core.RouterID, m Message) {
	e.Outgoing = append(e.Outgoing, Envelope{To: to, Message: m})
}

func (e *Effects) add(other Effects) {
	e.Outgoing = append(e.Outgoing, other.Outgoing...)
	e.Replies = append(e.Replies, other.Replies...)
	e.Probes = append(e.Probes, other.Probes...)
	e.RevisionApplied = e.RevisionApplied || other.RevisionApplied
}

func (n *Node) stamp(now time.Time) Stamp {
	return Stamp(n.settings.Incarnation) + Stamp(now.Sub(n.started).Milliseconds())
}

// timeOfStamp returns the time of a stamp of this router. A stamp of an earlier
// process gives the zero time.
func (n *Node) timeOfStamp(s Stamp) time.Time {
	since := s - Stamp(n.settings.Incarnation)
	if since < 0 {
		return time.Time{}
	}
	return n.started.Add(time.Duration(since) * time.Millisecond)
}
