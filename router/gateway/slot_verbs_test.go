package gateway_test

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// slotRouter is another router, which grants the slots of the pool as a script says.
type slotRouter struct {
	mu sync.Mutex
	// plan is what it does with the next requests for slots, in order; it grants no slot and
	// doesn't answer without one.
	plan []string
	// asked holds the requests for slots that it got, returned the numbers of those returned.
	asked    []fleet.SlotRequest
	returned []fleet.SlotReturn
}

// slot-router PLAN...: the applications state one slot each, and another router of many grants them:
// UPSTREAM grants one, queue:D:UPSTREAM one after a time, late:D:UPSTREAM without saying that the
// request waits, refuse:MS refuses, alone lets the router choose, silent doesn't answer.
func cmdSlotRouter(_ *testscript.TestScript, f *fixture, a []string) {
	for i := range f.entries {
		f.entries[i].Slots = 1
		f.entries[i].Sequence++
	}
	now := time.Now()
	f.fleet.ApplyFullRead(now, now, 0, 0, f.entries)
	for i := range 40 {
		m := fleet.Member{ID: core.RouterID("other-" + strconv.Itoa(i)), DataCentre: "a"}
		f.fleet.Receive(now, m, fleet.Message{Heartbeat: &fleet.Heartbeat{Version: 1}})
	}
	f.slots.plan = a
	f.gateway.Forwarder.ApplySlots = func(e fleet.Effects) { f.applySlots(e) }
	f.gateway.Forwarder.SlotsEnded = func() { f.applySlots(f.fleet.TakeSlotReturns(time.Now())) }
}

// applySlots delivers the messages to other routers and the answers to the gateway.
func (f *fixture) applySlots(e fleet.Effects) {
	for _, a := range e.SlotAnswers {
		f.gateway.Forwarder.SlotAnswered(a)
	}
	for _, envelope := range e.Forward {
		f.slots.mu.Lock()
		f.slots.returned = append(f.slots.returned, envelope.Message.SlotReturns...)
		q, plan := envelope.Message.SlotRequest, ""
		if q != nil {
			f.slots.asked = append(f.slots.asked, *q)
			if len(f.slots.plan) > 0 {
				plan, f.slots.plan = f.slots.plan[0], f.slots.plan[1:]
			}
		}
		f.slots.mu.Unlock()
		if q != nil {
			f.answerSlot(envelope.To, *q, plan)
		}
	}
}

func (f *fixture) answerSlot(from core.RouterID, q fleet.SlotRequest, plan string) {
	send := func(g fleet.SlotGrant) {
		g.Pool, g.Number = q.Pool, q.Number
		f.applySlots(f.fleet.Receive(time.Now(), fleet.Member{ID: from, DataCentre: "a"}, fleet.Message{SlotGrant: &g}))
	}
	var kind, upstream string
	var ms int64
	if _, err := fmt.Sscanf(plan, "refuse:%d", &ms); err == nil {
		send(fleet.SlotGrant{RetryMS: ms})
		return
	}
	for _, prefix := range []string{"queue", "late"} {
		if _, err := fmt.Sscanf(plan, prefix+":%d:%s", &ms, &upstream); err == nil {
			kind = prefix
		}
	}
	switch {
	case kind != "":
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { send(fleet.SlotGrant{Upstream: core.UpstreamID(upstream)}) })
		if kind == "queue" {
			send(fleet.SlotGrant{WaitMS: 2 * ms})
		}
	case plan == "alone":
		send(fleet.SlotGrant{Alone: true})
	case plan != "silent" && plan != "":
		send(fleet.SlotGrant{Upstream: core.UpstreamID(plan)})
	}
}

// slots-asked COUNT [NOT...]: checks how many requests for slots the other routers got, and which
// upstreams the last one excludes.
func cmdSlotsAsked(ts *testscript.TestScript, f *fixture, a []string) {
	f.slots.mu.Lock()
	defer f.slots.mu.Unlock()
	if got := strconv.Itoa(len(f.slots.asked)); got != a[0] {
		ts.Fatalf("requests for slots: got %s, want %s", got, a[0])
	}
	if got := fmt.Sprint(f.slots.asked[len(f.slots.asked)-1].Excluded); len(a) > 1 && got != fmt.Sprint(a[1:]) {
		ts.Fatalf("excluded upstreams: got %s, want %v", got, a[1:])
	}
}

// slots-returned OUTCOME...: waits until slots were returned with these outcomes, and checks that no
// other ones were.
func cmdSlotsReturned(ts *testscript.TestScript, f *fixture, a []string) {
	var got []string
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		f.slots.mu.Lock()
		got = nil
		for _, r := range f.slots.returned {
			got = append(got, []string{"unused", "answered", "rejected", "unreached", "lost"}[r.Outcome])
		}
		f.slots.mu.Unlock()
		if len(got) >= len(a) {
			break
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(a) {
		ts.Fatalf("slots returned: got %v, want %v", got, a)
	}
}
