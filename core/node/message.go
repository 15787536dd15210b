package node

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/permit"
)

// Stamp is a time on one router's clock, in milliseconds of Unix time at
// its start plus what has passed since; zero means none. Stamps of a router's earlier processes are
// lower than its incarnation.
type Stamp int64

// Message is what one router tells another. One field is set.
type Message struct {
	Hello    *Hello
	Beat     *Beat
	Ask      *Ask
	Grant    *Grant
	Deny     *Deny
	Cancel   *Cancel
	Release  *Release
	Snapshot *config.Snapshot
	Suspect  *Suspect
	Ping     *Ping
}

// Ping tells a keeper the time while an ask waits there, so that a permit
// which is granted after the wait may still be used.
type Ping struct {
	Stamp Stamp
}

// Hello opens a connection and says who speaks.
type Hello struct {
	Router      core.RouterID
	DataCentre  core.DataCentre
	Seat        core.Seat
	Address     string
	Incarnation core.Incarnation
}

// Beat is the heartbeat. Everything that need not be told at once rides on it.
type Beat struct {
	Stamp Stamp
	// Echo is the last stamp that was received from the other router.
	Echo     Stamp
	Revision core.Offset
	Leaving  bool
	// Alive has a bit for each live seat of the sender's data centre, the
	// first seat lowest. It is told to routers of other data centres.
	Alive   uint64
	Running []Running
	// Loans are what the sender lends to the receiver as keeper.
	Loans []Loan
	// Confirmed are the amounts of the receiver's loans that the sender, as
	// keeper, may still use.
	Confirmed []Confirmed
	// Health is the state of the upstreams that the sender keeps.
	Health []Health
	// Held states the permits that the sender holds from the receiver.
	Held []permit.Statement
	// Spoken says that Claims is complete: the permits that the sender holds
	// on units of the receiver.
	Spoken bool
	Claims []permit.Claim
	// Speak asks the receiver for its claims at once.
	Speak bool
}

// Running says how many of a pool's permits the sender holds.
type Running struct {
	Pool  core.Pool
	Count int
}

// Loan is a permit.Trust as its owner tells it.
type Loan struct {
	Upstream core.UpstreamID
	Epoch    uint64
	Amount   int
	Owed     int
}

// Confirmed tells an owner the amount of a loan that its keeper has taken over.
type Confirmed struct {
	Upstream core.UpstreamID
	Epoch    uint64
	Amount   int
}

// Health is the state of an upstream as its keeper sees it.
type Health struct {
	Upstream core.UpstreamID
	Boot     string
	// AgeMS is the time since the ramp began, in milliseconds; negative if it
	// has not.
	AgeMS int64
	Down  bool
}

// Ask asks a keeper for a permit.
type Ask struct {
	ID       uint64
	Stamp    Stamp
	Upstream core.UpstreamID
	Account  core.Account
	Weight   int
	Priority int
	Suspect  bool
	// WaitMS is how long the sender waits, in milliseconds; zero asks for an
	// answer at once.
	WaitMS  int64
	Running int
}

// Grant answers an ask with a permit.
type Grant struct {
	Ask      uint64
	Seq      uint64
	Upstream core.UpstreamID
	Owner    core.Seat
	Epoch    uint64
	Boot     string
	// Echo is the last stamp that the keeper had received from the asker.
	Echo Stamp
}

// Deny answers an ask with no permit.
type Deny struct {
	Ask uint64
}

// Cancel withdraws an ask.
type Cancel struct {
	Ask      uint64
	Upstream core.UpstreamID
}

// Release gives a permit back.
type Release struct {
	Upstream core.UpstreamID
	Seq      uint64
	Outcome  Outcome
	Boot     string
}

// Outcome says what the holder of a permit saw of the upstream.
type Outcome int

const (
	// Unused means that nothing was sent on the permit.
	Unused Outcome = iota
	// Answered means that the upstream answered.
	Answered
	// Refused means that no connection could be made.
	Refused
	// Broke means that the connection broke.
	Broke
)

// Suspect says that a request was running when a process crashed, or that it
// has since run to its end.
type Suspect struct {
	Digest  core.Digest
	Process string
	Clear   bool
}

// Out is a message to be sent.
type Out struct {
	To      core.RouterID
	Message Message
}

// Reply is the answer to an ask that had to wait.
type Reply struct {
	Ask     uint64
	Granted bool
	Held    permit.Held
}

// Effects are what a front end carries out after a decision.
type Effects struct {
	Out     []Out
	Replies []Reply
	// Probes are the upstreams of which a load report is wanted.
	Probes []core.UpstreamID
	// InForce is set if another revision has come into force.
	InForce bool
}

func (e *Effects) send(to core.RouterID, m Message) {
	e.Out = append(e.Out, Out{To: to, Message: m})
}

func (e *Effects) add(other Effects) {
	e.Out = append(e.Out, other.Out...)
	e.Replies = append(e.Replies, other.Replies...)
	e.Probes = append(e.Probes, other.Probes...)
	e.InForce = e.InForce || other.InForce
}

func (n *Node) stamp(now time.Time) Stamp {
	return Stamp(n.settings.Incarnation) + Stamp(now.Sub(n.started).Milliseconds())
}

// timeOf returns the time of an own stamp. One of an earlier process is as old
// as can be.
func (n *Node) timeOf(s Stamp) time.Time {
	since := s - Stamp(n.settings.Incarnation)
	if since < 0 {
		return time.Time{}
	}
	return n.started.Add(time.Duration(since) * time.Millisecond)
}
