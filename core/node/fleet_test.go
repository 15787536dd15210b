package node_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/permit"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/upstream"
)

// fleet drives routers with a simulated clock, network and engines. It is
// deterministic: the same steps give the same result.
type fleet struct {
	now        time.Time
	lease      permit.LeaseTiming
	sheet      []byte
	offset     core.Offset
	routers    map[core.RouterID]*process
	engines    map[core.UpstreamID]*engine
	requests   map[string]*request
	partitions map[[2]core.RouterID]bool
	inTransit  []packet
	loss       func() bool
	failures   []string
	// copies counts the snapshots that were delivered to each router.
	copies   map[core.RouterID]int
	denied   int
	finished int
	delay    time.Duration
	// unchecked turns off the check of engines' limits.
	unchecked bool
}

type process struct {
	node      *node.Node
	handshake node.Handshake
	alive     bool
	paused    bool
	nextTick  time.Time
	waiting   map[uint64]*request
	inbox     []packet
}

type engine struct {
	upstream upstream.Upstream
	boot     int
	booted   time.Time
	running  []*request
	// peak is the largest number of requests that ran at a time.
	peak        int
	unreachable bool
}

type request struct {
	name   string
	router core.RouterID
	// state is queued, granted or denied; after a grant unused if it was not sent,
	// refused if no connection could be opened, rebooted if the connection showed
	// another process, or running; then responded, done or broken; killed with its
	// router.
	state     string
	held      permit.Held
	requestID uint64
	// hold is true if the request is not sent as soon as its permit is granted.
	hold bool
	// immediate is true if the request does not wait for a unit.
	immediate  bool
	length     time.Duration
	endsAt     time.Time
	withdrawAt time.Time
}

type packet struct {
	at   time.Time
	from node.Handshake
	to   core.RouterID
	m    node.Message
}

const fleetStep = 50 * time.Millisecond

func newFleet() *fleet {
	return &fleet{
		now:        time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		routers:    map[core.RouterID]*process{},
		engines:    map[core.UpstreamID]*engine{},
		requests:   map[string]*request{},
		partitions: map[[2]core.RouterID]bool{},
		copies:     map[core.RouterID]int{},
		loss:       func() bool { return false },
		delay:      fleetStep,
	}
}

func parseSheet(text []byte) (config.Sheet, error) {
	var s config.Sheet
	err := json.Unmarshal(text, &s)
	return s, err
}

// start starts a new process of a router.
func (f *fleet) start(id core.RouterID, dc core.DataCentre, seat core.Seat) {
	s := node.Settings{
		ID: id, DataCentre: dc, Seat: seat, Address: string(id),
		Incarnation: core.Incarnation(f.now.UnixMilli()), LeaseTiming: f.lease, Parse: parseSheet,
	}
	p := &process{
		node: node.New(f.now, s), alive: true, nextTick: f.now, waiting: map[uint64]*request{},
		handshake: node.Handshake{Router: id, DataCentre: dc, Seat: seat, Address: s.Address, Incarnation: s.Incarnation},
	}
	f.routers[id] = p
	if f.offset > 0 {
		p.node.ApplySnapshot(f.now, config.Snapshot{
			Revision: config.Revision{Number: f.offset, Proposal: config.Proposal{Text: f.sheet}}, AsOf: f.offset,
		})
	}
	f.applyLists()
}

// applyLists gives all running routers the current list of instances.
func (f *fleet) applyLists() {
	for _, id := range f.routerIDs() {
		f.applyListTo(id)
	}
}

func (f *fleet) applyListTo(id core.RouterID) {
	var routers []instance.Router
	for _, other := range f.routerIDs() {
		h := f.routers[other].handshake
		if other != id && f.routers[other].alive {
			routers = append(routers, instance.Router{ID: h.Router, DataCentre: h.DataCentre, Seat: h.Seat, Address: h.Address})
		}
	}
	var upstreams []upstream.Upstream
	for _, e := range f.engineIDs() {
		upstreams = append(upstreams, f.engines[e].upstream)
	}
	if p := f.routers[id]; p.alive && !p.paused {
		p.node.ApplyList(routers, upstreams)
	}
}

func (f *fleet) routerIDs() []core.RouterID {
	ids := make([]core.RouterID, 0, len(f.routers))
	for id := range f.routers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) engineIDs() []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(f.engines))
	for id := range f.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) publish(text []byte) {
	f.offset++
	base := f.offset - 1
	f.sheet = text
	for _, id := range f.routerIDs() {
		if p := f.routers[id]; p.alive && !p.paused {
			e, err := p.node.ApplyProposal(f.now, f.offset, config.Proposal{Base: base, Text: text})
			if err != nil {
				f.failf("publish at %s: %v", id, err)
			}
			f.apply(id, e)
		}
	}
}

func (f *fleet) failf(format string, args ...any) {
	f.failures = append(f.failures, f.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// apply carries out the effects that a router returned.
func (f *fleet) apply(id core.RouterID, e node.Effects) {
	p := f.routers[id]
	for _, o := range e.Outgoing {
		f.inTransit = append(f.inTransit, packet{at: f.now.Add(f.delay), from: p.handshake, to: o.To, m: o.Message})
	}
	for _, r := range e.Replies {
		f.reply(id, r)
	}
	for _, probe := range e.Probes {
		f.probe(id, probe)
	}
}

func (f *fleet) probe(id core.RouterID, u core.UpstreamID) {
	en, p := f.engines[u], f.routers[id]
	if en.unreachable {
		p.node.ProbeFailed(f.now, u)
		return
	}
	f.apply(id, p.node.RecordLoad(f.now, f.now, u, en.bootName(), len(en.running), 0))
}

func (en *engine) bootName() string { return fmt.Sprintf("%s-%d", en.upstream.ID, en.boot) }

func (f *fleet) reply(id core.RouterID, r node.Reply) {
	p := f.routers[id]
	rq := p.waiting[r.RequestID]
	if rq == nil {
		f.failf("%s: reply for a request that is not pending", id)
		return
	}
	delete(p.waiting, r.RequestID)
	if !r.Granted {
		f.deny(rq)
		return
	}
	f.grant(rq, r.Held)
}

func (f *fleet) deny(rq *request) {
	rq.state = "denied"
	f.denied++
}

func (f *fleet) grant(rq *request, h permit.Held) {
	rq.state = "granted"
	rq.held = h
	if !rq.hold {
		f.send(rq)
	}
}

// send sends a request to its engine as the front end does: it checks the permit
// just before, and a new connection shows the engine's process.
func (f *fleet) send(rq *request) {
	p := f.routers[rq.router]
	en := f.engines[rq.held.Upstream]
	switch p.node.CheckPermit(f.now, rq.held) {
	case node.PermitExpired:
		rq.state = "unused"
		f.apply(rq.router, p.node.Finish(f.now, rq.held, node.Unused, ""))
		return
	case node.BootMismatch:
		rq.state = "unused"
		f.probe(rq.router, en.upstream.ID)
		f.apply(rq.router, p.node.Finish(f.now, rq.held, node.Responded, f.probedBoot(en)))
		return
	case node.Valid:
	}
	if en.unreachable {
		rq.state = "refused"
		f.apply(rq.router, p.node.Finish(f.now, rq.held, node.ConnectFailed, ""))
		return
	}
	if !p.node.ObserveBoot(f.now, en.upstream.ID, en.bootName()) {
		rq.state = "rebooted"
		f.apply(rq.router, p.node.Finish(f.now, rq.held, node.Responded, en.bootName()))
		return
	}
	rq.state = "running"
	rq.endsAt = f.now.Add(f.maxRunTime(en))
	if rq.length > 0 && rq.length < f.maxRunTime(en) {
		rq.endsAt = f.now.Add(rq.length)
	}
	en.running = append(en.running, rq)
	en.peak = max(en.peak, len(en.running))
	if limit := f.limit(en); len(en.running) > limit && !f.unchecked {
		f.failf("%s: %d requests in flight, want at most %d", en.upstream.ID, len(en.running), limit)
	}
}

// probedBoot returns the boot name that a probe finds; empty if the engine is
// unreachable.
func (f *fleet) probedBoot(en *engine) string {
	if en.unreachable {
		return ""
	}
	return en.bootName()
}

// maxRunTime returns how long a request may run.
func (f *fleet) maxRunTime(en *engine) time.Duration {
	sheet, _ := parseSheet(f.sheet)
	p, _ := sheet.Pool(en.upstream.Pool)
	return p.MaxRunTime
}

// limit returns an engine's capacity by its own clock.
func (f *fleet) limit(en *engine) int {
	sheet, _ := parseSheet(f.sheet)
	p, _ := sheet.Pool(en.upstream.Pool)
	r := route.PoolRamp(p)
	state := upstream.State{RampStart: en.booted}
	return state.Limit(f.now, r)
}

func (f *fleet) acquire(rq *request, spec node.PermitSpec) {
	p := f.routers[rq.router]
	f.requests[rq.name] = rq
	rq.state = "queued"
	rq.immediate = spec.Wait == 0
	result, e := p.node.Acquire(f.now, spec)
	rq.requestID = result.RequestID
	if result.Decision == permit.Queued {
		p.waiting[result.RequestID] = rq
		rq.withdrawAt = f.now.Add(max(spec.Wait, 4*f.delay))
	}
	f.apply(rq.router, e)
	switch result.Decision {
	case permit.Granted:
		f.grant(rq, result.Held)
	case permit.Denied:
		f.deny(rq)
	}
}

// finish completes a running request.
func (f *fleet) finish(rq *request) {
	if rq.state != "running" {
		return
	}
	rq.state = "done"
	f.finished++
	f.removeRunning(rq)
	p := f.routers[rq.router]
	if p.alive {
		f.apply(rq.router, p.node.Finish(f.now, rq.held, node.Responded, ""))
	}
}

func (f *fleet) removeRunning(rq *request) {
	en := f.engines[rq.held.Upstream]
	en.running = slices.DeleteFunc(en.running, func(r *request) bool { return r == rq })
}

// kill ends a router's process, its connections and its requests.
func (f *fleet) kill(id core.RouterID) {
	p := f.routers[id]
	p.alive = false
	p.paused = false
	p.inbox = nil
	for _, rq := range f.sortedRequests() {
		if rq.router == id && rq.state == "running" {
			f.removeRunning(rq)
		}
		if rq.router == id && rq.state != "done" {
			rq.state = "killed"
		}
	}
	for _, other := range f.routerIDs() {
		if o := f.routers[other]; other != id && o.alive && !o.paused && !f.partitioned(id, other) {
			f.apply(other, o.node.ConnectionLost(id))
		}
	}
}

func (f *fleet) sortedRequests() []*request {
	all := make([]*request, 0, len(f.requests))
	for _, rq := range f.requests {
		all = append(all, rq)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.name, b.name) })
	return all
}

// crash ends an engine's process and starts a cold one.
func (f *fleet) crash(id core.UpstreamID) {
	en := f.engines[id]
	en.boot++
	en.booted = f.now
	running := en.running
	en.running = nil
	for _, rq := range running {
		rq.state = "broken"
		if p := f.routers[rq.router]; p.alive && !p.paused {
			f.apply(rq.router, p.node.Finish(f.now, rq.held, node.Responded, en.bootName()))
		}
	}
}

func (f *fleet) partitioned(a, b core.RouterID) bool {
	return f.partitions[[2]core.RouterID{a, b}] || f.partitions[[2]core.RouterID{b, a}]
}

// run advances the clock.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		f.step()
	}
}

func (f *fleet) step() {
	due := f.inTransit
	f.inTransit = nil
	for _, p := range due {
		if p.at.After(f.now) {
			f.inTransit = append(f.inTransit, p)
			continue
		}
		f.deliver(p)
	}
	for _, id := range f.routerIDs() {
		p := f.routers[id]
		if !p.alive || p.paused {
			continue
		}
		if !f.now.Before(p.nextTick) {
			p.nextTick = f.now.Add(p.node.Settings().LeaseTiming.HeartbeatInterval())
			f.apply(id, p.node.Tick(f.now))
		}
		f.withdraw(id, p)
	}
	f.completeRequests()
}

// completeRequests completes the requests whose time is over. A paused router
// receives the response when it resumes.
func (f *fleet) completeRequests() {
	for _, rq := range f.sortedRequests() {
		if rq.state == "running" && !rq.endsAt.IsZero() && !f.now.Before(rq.endsAt) {
			f.removeRunning(rq)
			rq.state = "responded"
		}
		if rq.state == "responded" && !f.routers[rq.router].paused {
			rq.state = "running"
			f.finish(rq)
		}
	}
}

func (f *fleet) withdraw(id core.RouterID, p *process) {
	for _, rq := range f.sortedRequests() {
		if rq.router != id || rq.state != "queued" || f.now.Before(rq.withdrawAt) {
			continue
		}
		if ok, e := p.node.Withdraw(rq.requestID, rq.immediate); ok {
			delete(p.waiting, rq.requestID)
			f.apply(id, e)
			f.deny(rq)
		}
	}
}

func (f *fleet) deliver(p packet) {
	to := f.routers[p.to]
	sender := f.routers[p.from.Router]
	if to == nil || !to.alive || f.partitioned(p.from.Router, p.to) || f.loss() {
		return
	}
	if sender.handshake.Incarnation != p.from.Incarnation && p.m.Handshake == nil {
		return
	}
	if to.paused {
		to.inbox = append(to.inbox, p)
		return
	}
	if p.m.Snapshot != nil {
		f.copies[p.to]++
	}
	handshake := p.from
	f.apply(p.to, to.node.Receive(f.now, p.from, node.Message{Handshake: &handshake}))
	f.apply(p.to, to.node.Receive(f.now, p.from, p.m))
}

func (f *fleet) resume(id core.RouterID) {
	p := f.routers[id]
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		f.deliver(m)
	}
}
