package fleet

import "camphorpulley.org/core"

// Slot is a slot that a dispatcher has granted for an attempt. The zero value is an attempt
// without one.
type Slot struct {
	Dispatcher core.RouterID
	Pool       core.Pool
	// Number is that of the SlotRequest; zero if there is no slot.
	Number uint64
}

// SlotAsk is a question to a dispatcher that a request has to ask before its next attempt.
type SlotAsk struct {
	To      core.RouterID
	Request SlotRequest
}

// SlotAnswer is what a request has learned of the slot for its next attempt. The zero value is a
// request that hasn't asked.
type SlotAnswer struct {
	From core.RouterID
	SlotGrant
	// Silent is true if no answer has come.
	Silent bool
}

// asked reports whether the request has asked.
func (a SlotAnswer) asked() bool { return a.Silent || a.Number != 0 }

// Queued reports whether another answer follows.
func (a SlotAnswer) Queued() bool { return a.Upstream == "" && a.WaitMS > 0 }

// Granted reports whether the answer grants a slot.
func (a SlotAnswer) Granted() bool { return a.Upstream != "" }
