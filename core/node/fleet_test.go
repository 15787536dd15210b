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

// fleet drives routers with a made clock, a made network and made engines. It
// is exact: the same steps give the same result.
type fleet struct {
	now       time.Time
	lease     permit.Lease
	sheet     []byte
	offset    core.Offset
	routers   map[core.RouterID]*process
	engines   map[core.UpstreamID]*engine
	requests  map[string]*request
	cuts      map[[2]core.RouterID]bool
	flight    []parcel
	loss      func() bool
	faults    []string
	denied    int
	finished  int
	delay     time.Duration
	unchecked bool
}

type process struct {
	node    *node.Node
	hello   node.Hello
	alive   bool
	frozen  bool
	next    time.Time
	waiting map[uint64]*request
	inbox   []parcel
}

type engine struct {
	upstream upstream.Upstream
	boot     int
	booted   time.Time
	running  []*request
	most     int
	silent   bool
}

type request struct {
	name   string
	router core.RouterID
	state  string
	held   permit.Held
	ask    uint64
	manual bool
	// immediate is set if the ask wants an answer at once.
	immediate bool
	length    time.Duration
	until     time.Time
	withdrw   time.Time
}

type parcel struct {
	at   time.Time
	from node.Hello
	to   core.RouterID
	m    node.Message
}

const fleetStep = 50 * time.Millisecond

func newFleet() *fleet {
	return &fleet{
		now:      time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		routers:  map[core.RouterID]*process{},
		engines:  map[core.UpstreamID]*engine{},
		requests: map[string]*request{},
		cuts:     map[[2]core.RouterID]bool{},
		loss:     func() bool { return false },
		delay:    fleetStep,
	}
}

func parseSheet(text []byte) (config.Sheet, error) {
	var s config.Sheet
	err := json.Unmarshal(text, &s)
	return s, err
}

// start begins a new process of a router.
func (f *fleet) start(id core.RouterID, dc core.DataCentre, seat core.Seat) {
	s := node.Settings{
		ID: id, DataCentre: dc, Seat: seat, Address: string(id),
		Incarnation: core.Incarnation(f.now.UnixMilli()), Lease: f.lease, Parse: parseSheet,
	}
	p := &process{
		node: node.New(f.now, s), alive: true, next: f.now, waiting: map[uint64]*request{},
		hello: node.Hello{Router: id, DataCentre: dc, Seat: seat, Address: s.Address, Incarnation: s.Incarnation},
	}
	f.routers[id] = p
	if f.offset > 0 {
		p.node.Adopt(f.now, config.Snapshot{
			Revision: config.Revision{Number: f.offset, Proposal: config.Proposal{Text: f.sheet}}, AsOf: f.offset,
		})
	}
	f.list()
}

// list tells all routers the list of instances.
func (f *fleet) list() {
	for _, id := range f.routerIDs() {
		f.listTo(id)
	}
}

func (f *fleet) listTo(id core.RouterID) {
	var routers []instance.Router
	for _, other := range f.routerIDs() {
		h := f.routers[other].hello
		if other != id && f.routers[other].alive {
			routers = append(routers, instance.Router{ID: h.Router, DataCentre: h.DataCentre, Seat: h.Seat, Address: h.Address})
		}
	}
	var upstreams []upstream.Upstream
	for _, e := range f.engineIDs() {
		upstreams = append(upstreams, f.engines[e].upstream)
	}
	if p := f.routers[id]; p.alive && !p.frozen {
		p.node.Listed(routers, upstreams)
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
		if p := f.routers[id]; p.alive && !p.frozen {
			e, err := p.node.Propose(f.now, f.offset, config.Proposal{Base: base, Text: text})
			if err != nil {
				f.fault("publish at %s: %v", id, err)
			}
			f.carry(id, e)
		}
	}
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, f.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// carry does what a router's decision asks for.
func (f *fleet) carry(id core.RouterID, e node.Effects) {
	p := f.routers[id]
	for _, o := range e.Out {
		f.flight = append(f.flight, parcel{at: f.now.Add(f.delay), from: p.hello, to: o.To, m: o.Message})
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
	if en.silent {
		p.node.Unreachable(f.now, u)
		return
	}
	f.carry(id, p.node.Reported(f.now, f.now, u, en.bootName(), len(en.running), 0))
}

func (en *engine) bootName() string { return fmt.Sprintf("%s-%d", en.upstream.ID, en.boot) }

func (f *fleet) reply(id core.RouterID, r node.Reply) {
	p := f.routers[id]
	rq := p.waiting[r.Ask]
	if rq == nil {
		f.fault("%s: reply for an ask that is not waiting", id)
		return
	}
	delete(p.waiting, r.Ask)
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
	if !rq.manual {
		f.send(rq)
	}
}

// send sends a request to its engine, as the front end does: it checks the
// permit just before, and a new connection shows the engine's process.
func (f *fleet) send(rq *request) {
	p := f.routers[rq.router]
	en := f.engines[rq.held.Upstream]
	switch p.node.Check(f.now, rq.held) {
	case node.Late:
		rq.state = "unused"
		f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Unused, ""))
		return
	case node.Doubtful:
		rq.state = "unused"
		f.probe(rq.router, en.upstream.ID)
		f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Answered, f.seen(en)))
		return
	case node.Valid:
	}
	if en.silent {
		rq.state = "refused"
		f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Refused, ""))
		return
	}
	if !p.node.SeenBoot(f.now, en.upstream.ID, en.bootName()) {
		rq.state = "rebooted"
		f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Answered, en.bootName()))
		return
	}
	rq.state = "running"
	rq.until = f.now.Add(f.longest(en))
	if rq.length > 0 && rq.length < f.longest(en) {
		rq.until = f.now.Add(rq.length)
	}
	en.running = append(en.running, rq)
	en.most = max(en.most, len(en.running))
	if limit := f.limit(en); len(en.running) > limit && !f.unchecked {
		f.fault("%s: %d in flight, bears %d", en.upstream.ID, len(en.running), limit)
	}
}

// seen is the process that a probe finds.
func (f *fleet) seen(en *engine) string {
	if en.silent {
		return ""
	}
	return en.bootName()
}

// longest is how long a request may run.
func (f *fleet) longest(en *engine) time.Duration {
	sheet, _ := parseSheet(f.sheet)
	p, _ := sheet.Pool(en.upstream.Pool)
	return p.MaxRunTime
}

// limit is what an engine bears by its own clock.
func (f *fleet) limit(en *engine) int {
	sheet, _ := parseSheet(f.sheet)
	p, _ := sheet.Pool(en.upstream.Pool)
	r := route.RampOf(p)
	state := upstream.State{RampStart: en.booted}
	return state.Limit(f.now, r)
}

func (f *fleet) ask(rq *request, w node.Want) {
	p := f.routers[rq.router]
	f.requests[rq.name] = rq
	rq.state = "queued"
	rq.immediate = w.Wait == 0
	a, e := p.node.Ask(f.now, w)
	rq.ask = a.Ask
	if a.Outcome == permit.Queued {
		p.waiting[a.Ask] = rq
		rq.withdrw = f.now.Add(max(w.Wait, 4*f.delay))
	}
	f.carry(rq.router, e)
	switch a.Outcome {
	case permit.Granted:
		f.grant(rq, a.Held)
	case permit.Denied:
		f.deny(rq)
	}
}

// finish ends a running request.
func (f *fleet) finish(rq *request) {
	if rq.state != "running" {
		return
	}
	rq.state = "done"
	f.finished++
	f.drop(rq)
	p := f.routers[rq.router]
	if p.alive {
		f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Answered, ""))
	}
}

func (f *fleet) drop(rq *request) {
	en := f.engines[rq.held.Upstream]
	en.running = slices.DeleteFunc(en.running, func(r *request) bool { return r == rq })
}

// kill ends a router's process; its connections close and its requests end.
func (f *fleet) kill(id core.RouterID) {
	p := f.routers[id]
	p.alive = false
	p.frozen = false
	p.inbox = nil
	for _, rq := range f.sorted() {
		if rq.router == id && rq.state == "running" {
			f.drop(rq)
		}
		if rq.router == id && rq.state != "done" {
			rq.state = "killed"
		}
	}
	for _, other := range f.routerIDs() {
		if o := f.routers[other]; other != id && o.alive && !o.frozen && !f.cut(id, other) {
			f.carry(other, o.node.Lost(id))
		}
	}
}

func (f *fleet) sorted() []*request {
	all := make([]*request, 0, len(f.requests))
	for _, rq := range f.requests {
		all = append(all, rq)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.name, b.name) })
	return all
}

// crash ends an engine's process and begins a cold one.
func (f *fleet) crash(id core.UpstreamID) {
	en := f.engines[id]
	en.boot++
	en.booted = f.now
	running := en.running
	en.running = nil
	for _, rq := range running {
		rq.state = "broken"
		if p := f.routers[rq.router]; p.alive && !p.frozen {
			f.carry(rq.router, p.node.Finish(f.now, rq.held, node.Answered, en.bootName()))
		}
	}
}

func (f *fleet) cut(a, b core.RouterID) bool {
	return f.cuts[[2]core.RouterID{a, b}] || f.cuts[[2]core.RouterID{b, a}]
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		f.step()
	}
}

func (f *fleet) step() {
	due := f.flight
	f.flight = nil
	for _, p := range due {
		if p.at.After(f.now) {
			f.flight = append(f.flight, p)
			continue
		}
		f.deliver(p)
	}
	for _, id := range f.routerIDs() {
		p := f.routers[id]
		if !p.alive || p.frozen {
			continue
		}
		if !f.now.Before(p.next) {
			p.next = f.now.Add(p.node.Self().Lease.Beat())
			f.carry(id, p.node.Tick(f.now))
		}
		f.withdraw(id, p)
	}
	f.endRequests()
}

// endRequests ends what the engines have finished. A frozen router hears of it
// when it wakes.
func (f *fleet) endRequests() {
	for _, rq := range f.sorted() {
		if rq.state == "running" && !rq.until.IsZero() && !f.now.Before(rq.until) {
			f.drop(rq)
			rq.state = "ended"
		}
		if rq.state == "ended" && !f.routers[rq.router].frozen {
			rq.state = "running"
			f.finish(rq)
		}
	}
}

func (f *fleet) withdraw(id core.RouterID, p *process) {
	for _, rq := range f.sorted() {
		if rq.router != id || rq.state != "queued" || f.now.Before(rq.withdrw) {
			continue
		}
		if ok, e := p.node.Withdraw(rq.ask, rq.immediate); ok {
			delete(p.waiting, rq.ask)
			f.carry(id, e)
			f.deny(rq)
		}
	}
}

func (f *fleet) deliver(p parcel) {
	to := f.routers[p.to]
	sender := f.routers[p.from.Router]
	if to == nil || !to.alive || f.cut(p.from.Router, p.to) || f.loss() {
		return
	}
	if sender.hello.Incarnation != p.from.Incarnation && p.m.Hello == nil {
		return
	}
	if to.frozen {
		to.inbox = append(to.inbox, p)
		return
	}
	hello := p.from
	f.carry(p.to, to.node.Receive(f.now, p.from, node.Message{Hello: &hello}))
	f.carry(p.to, to.node.Receive(f.now, p.from, p.m))
}

func (f *fleet) thaw(id core.RouterID) {
	p := f.routers[id]
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		f.deliver(m)
	}
}
