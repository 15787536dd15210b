package fleet_test

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
)

// rolloutStore is the part of the simulated store that holds orders and statuses.
type rolloutStore struct {
	limits rollout.Limits
	// orders are the newest ones, next is the offset of the next record of operators.
	orders map[core.Pool]rollout.Order
	next   uint64
	// statuses are all that were written. down is true if the store doesn't answer, lost if it
	// carries out appends without an answer.
	statuses   []fleet.RolloutStatus
	down, lost bool
	// refused holds the routers that the store refuses.
	refused map[string]bool
	// calls counts the calls for statuses, messages those between routers about roll-outs.
	calls, messages int
	// sent counts the requests by release since the last check, all those of the pool.
	sent map[string]int
	all  int
	// lastSent holds when a request was last sent to each release.
	lastSent map[string]time.Time
}

// rolloutCommands are the verbs of this file.
var rolloutCommands = map[string]func(*testscript.TestScript, *simulation, []string){
	"exposure": cmdExposure, "order": cmdOrder, "withdraw": cmdWithdraw, "read-orders": cmdReadOrders, "status-store": cmdStatusStore,
	"restore-statuses": cmdRestoreStatuses, "serve": cmdServe, "exposed": cmdExposed, "last-sent": cmdLastSent, "stage": cmdStage,
	"status": cmdStatus, "final-statuses": cmdFinalStatuses, "rollout-calls": cmdRolloutCalls, "conductor": cmdConductor,
	"routers": cmdRouters, "upstreams": cmdUpstreams, "cut": cmdCut, "partition": cmdPartition, "claim": cmdClaim,
}

// exposure SHARE SLACK [REVERT]: sets the bounds on roll-outs of routers that start later.
func cmdExposure(ts *testscript.TestScript, sim *simulation, a []string) {
	var err error
	sim.rollout.limits.Share, err = strconv.ParseFloat(a[0], 64)
	ts.Check(err)
	sim.rollout.limits.Slack, err = strconv.ParseFloat(a[1], 64)
	ts.Check(err)
	sim.rollout.limits.Revert = 5 * time.Second
}

// order POOL TARGET DURATION [invalid=REASON] [unread] [ROUTER...]: an operator writes an
// order, which these routers read, or all, unless unread.
func cmdOrder(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[2])
	ts.Check(err)
	st := &sim.rollout
	o := rollout.Order{Pool: core.Pool(a[0]), Target: a[1], Duration: d, Offset: st.next, Era: sim.era}
	o.Invalid, _ = option(a, "invalid")
	if st.orders == nil {
		st.orders = map[core.Pool]rollout.Order{}
	}
	st.orders[o.Pool] = o
	st.next++
	if _, unread := option(a, "unread"); unread {
		return
	}
	readers := slices.DeleteFunc(slices.Clone(a[3:]), func(arg string) bool { return strings.Contains(arg, "=") })
	sim.each(readers, func(f *fleet.Fleet) {
		if !st.refuses(string(f.Settings().ID)) {
			f.ApplyOrder(sim.now, o, true)
		}
	})
}

// withdraw POOL: an operator removes an order, and all routers read that.
func cmdWithdraw(_ *testscript.TestScript, sim *simulation, a []string) {
	st := &sim.rollout
	removed := rollout.Order{Pool: core.Pool(a[0]), Offset: st.next, Era: sim.era}
	delete(st.orders, removed.Pool)
	st.next++
	sim.each(nil, func(f *fleet.Fleet) { f.WithdrawOrder(sim.now, removed) })
}

// read-orders [ROUTER...]: routers, or all, read all orders in the store.
func cmdReadOrders(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.each(a, sim.readOrders)
}

func (sim *simulation) readOrders(f *fleet.Fleet) {
	st := &sim.rollout
	if st.refuses(string(f.Settings().ID)) {
		return
	}
	var all []rollout.Order
	for _, o := range st.orders {
		all = append(all, o)
	}
	f.ApplyOrders(sim.now, all, st.next, sim.era)
}

func (st *rolloutStore) refuses(router string) bool { return st.down || st.refused[router] }

// status-store down|up|lost|refuse ROUTER...: the store fails, is back, loses its answers to
// appends, or refuses some routers.
func cmdStatusStore(ts *testscript.TestScript, sim *simulation, a []string) {
	st := &sim.rollout
	switch a[0] {
	case "down":
		st.down = true
	case "up":
		st.down, st.lost, st.refused = false, false, nil
	case "lost":
		st.lost = true
	case "refuse":
		st.refused = map[string]bool{}
		for _, id := range a[1:] {
			st.refused[id] = true
		}
	default:
		ts.Fatalf("status-store: unknown state %s", a[0])
	}
}

// restore-statuses: the store comes back from a copy without statuses, and routers notice.
func cmdRestoreStatuses(_ *testscript.TestScript, sim *simulation, _ []string) {
	sim.era++
	sim.rollout.statuses = nil
	for pool, o := range sim.rollout.orders {
		o.Era = sim.era
		sim.rollout.orders[pool] = o
	}
	sim.each(nil, func(f *fleet.Fleet) {
		f.RecheckStatuses(sim.now)
		sim.readOrders(f)
	})
}

// tickRollouts lets all routers but the frozen ones carry the roll-outs on and write statuses.
func (sim *simulation) tickRollouts() {
	for _, id := range sim.order {
		if sim.frozen[id] {
			continue
		}
		f := sim.routers[id]
		for _, e := range f.TickRollouts(sim.now).Messages {
			sim.rollout.messages++
			sim.deliver(id, string(e.To), e.Message)
		}
		sim.writeStatuses(f)
	}
}

// writeStatuses does what a router has to do at the store.
func (sim *simulation) writeStatuses(f *fleet.Fleet) {
	st := &sim.rollout
	if f.StatusWork(sim.now).None() {
		return
	}
	st.calls++
	if st.refuses(string(f.Settings().ID)) {
		return
	}
	newest := map[core.Pool]fleet.RolloutStatus{}
	for _, s := range st.statuses {
		newest[s.Pool] = s
	}
	var all []fleet.RolloutStatus
	for _, s := range newest {
		all = append(all, s)
	}
	f.ApplyStatuses(sim.now, all)
	for _, s := range f.StatusWork(sim.now).Write {
		st.statuses = append(st.statuses, s)
		if !st.lost {
			f.RecordStatusWritten(sim.now, s)
		}
	}
}

// routers COUNT DCS: starts routers n0, n1 and so on in data centres a, b and so on.
func cmdRouters(ts *testscript.TestScript, sim *simulation, a []string) {
	count, err := strconv.Atoi(a[0])
	ts.Check(err)
	dcs, err := strconv.Atoi(a[1])
	ts.Check(err)
	for i := range count {
		cmdRouter(ts, sim, []string{"n" + strconv.Itoa(i), string(rune('a' + i%dcs))})
	}
}

// upstreams COUNT PREFIX POOL DCS [release=R] [age=D]: writes entries of upstreams PREFIX0 and
// so on, over data centres a, b and so on.
func cmdUpstreams(ts *testscript.TestScript, sim *simulation, a []string) {
	count, err := strconv.Atoi(a[0])
	ts.Check(err)
	dcs, err := strconv.Atoi(a[3])
	ts.Check(err)
	for i := range count {
		cmdUpstream(ts, sim, append([]string{a[1] + strconv.Itoa(i), a[2], string(rune('a' + i%dcs))}, a[4:]...))
	}
}

// cut ROUTER: the messages of a router are lost, both ways.
func cmdCut(_ *testscript.TestScript, sim *simulation, a []string) {
	for _, id := range sim.order {
		if id != a[0] {
			sim.disconnected[[2]string{id, a[0]}], sim.disconnected[[2]string{a[0], id}] = true, true
		}
	}
}

// partition DC DC: messages between two data centres are lost.
func cmdPartition(_ *testscript.TestScript, sim *simulation, a []string) {
	for _, x := range sim.order {
		for _, y := range sim.order {
			if string(sim.routers[x].Settings().DataCentre) == a[0] && string(sim.routers[y].Settings().DataCentre) == a[1] {
				sim.disconnected[[2]string{x, y}], sim.disconnected[[2]string{y, x}] = true, true
			}
		}
	}
}

// claim ROUTER POOL TARGET [stage=N] [share=X] [age=MS] [issued=MS] [duration=D] [offset=N]: a
// router gets a message with a state from a stranger that takes itself for the conductor.
func cmdClaim(ts *testscript.TestScript, sim *simulation, a []string) {
	m := fleet.RolloutState{Conductor: "stranger", State: rollout.State{
		Order: rollout.Order{Pool: core.Pool(a[1]), Target: a[2], Duration: duration(ts, a, "duration"), Offset: uint64(number(ts, a, "offset")), Era: sim.era},
		Stage: rollout.Stage(number(ts, a, "stage")), Sequence: 1, AgeMS: int64(number(ts, a, "age")),
	}, IssuedAgeMS: int64(number(ts, a, "issued"))}
	if share, ok := option(a, "share"); ok {
		var err error
		m.State.Share, err = strconv.ParseFloat(share, 64)
		ts.Check(err)
	}
	f := sim.routers[a[0]]
	f.Receive(sim.now, fleet.Member{ID: "stranger", DataCentre: f.Settings().DataCentre}, fleet.Message{RolloutState: &m})
}
