package fleet_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// askSlot asks for the slot of a request. If no answer comes at once, the router waits in vain.
func (sim *simulation) askSlot(s *sentRequest) {
	ask, id := *s.target.SlotAsk, string(s.router.Settings().ID)
	key := id + "/" + strconv.FormatUint(ask.Request.Number, 10)
	sim.asking[key] = s
	sim.returnSlots(s.router)
	s.request.Asks++
	sim.asks++
	s.request.Slot = fleet.SlotAnswer{}
	sim.applySlots(id, s.router.AskSlot(sim.now, ask))
	switch slot := s.request.Slot; {
	case slot.Queued():
		s.waiting = true
		return
	case slot.Number == 0:
		sim.now = sim.now.Add(fleet.SlotTimeout)
		sim.silences++
		s.router.RecordSlotSilence(sim.now, ask)
		s.request.Slot = fleet.SlotAnswer{Silent: true}
		sim.returnSlots(s.router)
	}
	delete(sim.asking, key)
}

// applySlots delivers the messages and the answers that follow from what a router did.
func (sim *simulation) applySlots(id string, e fleet.Effects) {
	for _, envelope := range e.Forward {
		sim.deliver(id, string(envelope.To), envelope.Message)
	}
	for _, answer := range e.SlotAnswers {
		key := id + "/" + strconv.FormatUint(answer.Number, 10)
		s := sim.asking[key]
		switch {
		case s != nil:
			s.request.Slot = answer
			if s.waiting && !answer.Queued() {
				s.waiting = false
				delete(sim.asking, key)
				sim.choose(s)
			}
		case answer.Granted():
			sim.routers[id].ReturnGrant(answer)
			sim.returnSlots(sim.routers[id])
		}
	}
}

// returnSlots lets a router return the slots that have ended.
func (sim *simulation) returnSlots(f *fleet.Fleet) {
	sim.applySlots(string(f.Settings().ID), f.TakeSlotReturns(sim.now))
}

// dispatcher ROUTER POOL WANT...|none: checks which router grants the slots of a pool by a router's
// view.
func cmdDispatcher(ts *testscript.TestScript, sim *simulation, a []string) {
	got := string(sim.routers[a[0]].Dispatcher(sim.now, core.Pool(a[1])))
	if got == "" {
		got = "none"
	}
	if !slices.Contains(a[2:], got) {
		ts.Fatalf("dispatcher of %s by %s: got %s, want one of %v", a[1], a[0], got, a[2:])
	}
}

// waiting NAME...: checks that requests wait for a slot.
func cmdWaiting(ts *testscript.TestScript, sim *simulation, a []string) {
	for _, name := range a {
		if s := sim.requests[name]; !s.waiting {
			ts.Fatalf("request %s: got target %q and refusal %v, want it to wait", name, s.target.ID, s.refusal)
		}
	}
}

// slots ROUTER TAKEN WAITING: checks how many slots a router has granted, and how many requests
// wait for one.
func cmdSlots(ts *testscript.TestScript, sim *simulation, a []string) {
	s := sim.routers[a[0]].SlotStatus(sim.now)
	if got, want := fmt.Sprint(s.Taken, " ", s.Waiting), a[1]+" "+a[2]; got != want {
		ts.Fatalf("slots taken and requests waiting at %s: got %s, want %s", a[0], got, want)
	}
}

// returns-differ NAME...: checks that the callers of refused requests don't return at one moment.
func cmdReturnsDiffer(ts *testscript.TestScript, sim *simulation, a []string) {
	seen := map[time.Duration]bool{}
	for _, name := range a {
		seen[sim.requests[name].refusal.RetryAfter] = true
	}
	if len(seen) < len(a) {
		ts.Fatalf("returns of %v: got %d different times, want %d", a, len(seen), len(a))
	}
}

// silences COUNT: checks how many requests for slots got no answer.
func cmdSilences(ts *testscript.TestScript, sim *simulation, a []string) {
	if got := strconv.Itoa(sim.silences); got != a[0] {
		ts.Fatalf("requests without an answer: got %s, want %s", got, a[0])
	}
}

// asks COUNT: checks how many requests for slots were sent.
func cmdAsks(ts *testscript.TestScript, sim *simulation, a []string) {
	if got := strconv.Itoa(sim.asks); got != a[0] {
		ts.Fatalf("requests for slots: got %s, want %s", got, a[0])
	}
}
