package fleet_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/statement"
)

// simulation is a set of routers with a simulated clock. Scripts control the store and
// the outcomes of requests.
type simulation struct {
	now     time.Time
	routers map[string]*fleet.Fleet
	order   []string
	catalog catalog.Catalog
	// log holds the records of the store of upstreams in its era, texts all entries that
	// were ever written, and entries the newest one of each upstream.
	log     []fleet.Record
	era     uint64
	texts   []roster.Entry
	entries map[core.UpstreamID]roster.Entry
	// pendingReads holds by router the offset of a read that has begun.
	pendingReads map[string]uint64
	regions      map[core.DataCentre]string
	// disconnected holds pairs of routers, the sender first, whose messages are lost.
	disconnected map[[2]string]bool
	// delayed holds pairs of routers, the sender first, whose messages wait in held.
	delayed map[[2]string]bool
	held    []heldMessage
	// frozen holds the routers that neither send nor receive.
	frozen map[string]bool
	// crossings counts the messages between data centres.
	crossings int
	requests  map[string]*sentRequest
	slack     float64
}

// heldMessage is a message that is delivered late.
type heldMessage struct {
	from, to string
	message  fleet.Message
}

// sentRequest is a request of a script.
type sentRequest struct {
	router  *fleet.Fleet
	request fleet.Request
	target  fleet.Target
	refusal *core.Refusal
	tried   []core.UpstreamID
	detours fleet.Detours
	done    bool
	sentAt  time.Time
}

type simulationKey struct{}

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. The verbs are the keys in commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[simulationKey{}] = &simulation{
				now: start, routers: map[string]*fleet.Fleet{}, entries: map[core.UpstreamID]roster.Entry{},
				pendingReads: map[string]uint64{}, regions: map[core.DataCentre]string{},
				disconnected: map[[2]string]bool{}, delayed: map[[2]string]bool{}, frozen: map[string]bool{}, requests: map[string]*sentRequest{}, slack: 56, era: 1,
				catalog: catalog.Catalog{Pools: map[core.Pool]catalog.Pool{}},
			}
			return nil
		},
		Cmds: commands(),
	})
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, *simulation, []string){
		"router":               cmdRouter,
		"pool":                 cmdPool,
		"route":                cmdRoute,
		"apply-catalog":        cmdApplyCatalog,
		"upstream":             cmdUpstream,
		"remove":               cmdRemove,
		"begin-read":           cmdBeginRead,
		"read-nothing":         cmdReadNothing,
		"read":                 cmdRead,
		"announce":             cmdAnnounce,
		"due-readers":          cmdDueReaders,
		"out-of-service":       cmdOutOfService,
		"store":                cmdStore,
		"heartbeats":           cmdHeartbeats,
		"disconnect":           cmdDisconnect,
		"reconnect":            cmdReconnect,
		"delay":                cmdDelay,
		"deliver":              cmdDeliver,
		"advance":              cmdAdvance,
		"send":                 cmdSend,
		"retry":                cmdRetry,
		"finish":               cmdFinish,
		"sent-to":              cmdSentTo,
		"fetches-from":         cmdFetchesFrom,
		"refused":              cmdRefused,
		"running-at-most":      cmdRunningAtMost,
		"readiness":            cmdReadiness,
		"catalog-version":      cmdCatalogVersion,
		"break-connection":     cmdBreakConnection,
		"answer":               cmdAnswer,
		"refused-parts":        cmdRefusedParts,
		"expire-parts":         cmdExpireParts,
		"retries-at-most":      cmdRetriesAtMost,
		"inventory-targets":    cmdInventoryTargets,
		"retry-slack":          cmdRetrySlack,
		"at-most-per-upstream": cmdAtMostPerUpstream,
		"exclusion":            cmdExclusion,
		"region":               cmdRegion,
		"run":                  cmdRun,
		"report":               cmdReport,
		"freeze":               cmdFreeze,
		"thaw":                 cmdThaw,
		"crossings":            cmdCrossings,
		"routers-known":        cmdRoutersKnown,
		"load":                 cmdLoad,
		"digest":               cmdDigest,
		"says":                 cmdSays,
		"traffic":              cmdTraffic,
		"most-within":          cmdMostWithin,
		"limited":              cmdLimited,
		"retry-after":          cmdRetryAfter,
		"restore-store":        cmdRestoreStore,
		"begin":                cmdBegin,
		"take-up":              cmdTakeUp,
		"sent-release":         cmdSentRelease,
		"standing":             cmdStanding,
		"helper":               cmdHelper,
		"helped":               cmdHelped,
		"cut-off":              cmdCutOff,
		"reached":              cmdReached,
		"unreached":            cmdUnreached,
		"relay":                cmdRelay,
		"press":                cmdPress,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		wrapped[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			sim, ok := ts.Value(simulationKey{}).(*simulation)
			if !ok {
				ts.Fatalf("no simulation")
			}
			run(ts, sim, args)
		}
	}
	return wrapped
}

// option returns the value of the argument key=value or key, and whether it is there.
func option(args []string, key string) (string, bool) {
	for _, a := range args {
		if name, value, _ := strings.Cut(a, "="); name == key {
			return value, true
		}
	}
	return "", false
}

func number(ts *testscript.TestScript, args []string, key string) int {
	text, ok := option(args, key)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, args []string, key string) time.Duration {
	text, ok := option(args, key)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func (sim *simulation) each(args []string, fn func(*fleet.Fleet)) {
	for _, id := range sim.order {
		if len(args) == 0 || strings.Contains(" "+strings.Join(args, " ")+" ", " "+id+" ") {
			fn(sim.routers[id])
		}
	}
}

// router ID DC [unlisted]: starts or restarts a router, which reads the store and,
// unless unlisted, the list of routers.
func cmdRouter(_ *testscript.TestScript, sim *simulation, a []string) {
	f := fleet.New(sim.now, fleet.Settings{
		ID: core.RouterID(a[0]), DataCentre: core.DataCentre(a[1]), Address: a[0], Detour: "detour-" + a[0], MaxLoadFactor: 2,
		Regions: sim.regions, Drain: 2 * time.Second, Evacuation: 5 * time.Second, Incarnation: core.Incarnation(sim.now.UnixMilli()),
		Retry: retry.Limits{Ratio: 0.2, Slack: sim.slack, Window: 10 * time.Second},
		ParseCatalog: func([]byte) (*catalog.Catalog, error) {
			c := sim.catalog
			return &c, nil
		},
		ParseEntry: func(_ core.UpstreamID, text []byte) (roster.Entry, error) { return sim.written(text), nil },
	})
	if _, known := sim.routers[a[0]]; !known {
		sim.order = append(sim.order, a[0])
	}
	sim.routers[a[0]] = f
	f.ApplyFullRead(sim.now, sim.now, sim.era, uint64(len(sim.log)), lo.Values(sim.entries))
	if _, unlisted := option(a, "unlisted"); unlisted {
		return
	}
	for _, id := range sim.order {
		f.AddMember(sim.now, member(sim.routers[id]))
		sim.routers[id].AddMember(sim.now, member(f))
	}
	f.MarkMembersListed()
}

func member(f *fleet.Fleet) fleet.Member {
	s := f.Settings()
	return fleet.Member{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Detour: s.Detour, Incarnation: s.Incarnation}
}

// region DC REGION: sets the region of a data centre.
func cmdRegion(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.regions[core.DataCentre(a[0])] = a[1]
}

// pool NAME [engine=TOKENS] [cold=RATE]: adds a pool to the catalog.
func cmdPool(ts *testscript.TestScript, sim *simulation, a []string) {
	p := catalog.Pool{Name: core.Pool(a[0]), ColdRate: float64(number(ts, a, "cold"))}
	if tokens := number(ts, a, "engine"); tokens > 0 {
		p.Engine = &catalog.Engine{CacheTokens: tokens}
	}
	sim.catalog.Pools[p.Name] = p
}

// route NAME POOL once|safe|stream [attempts=N] [resume] [region=REGION]: adds the
// route of host NAME to the catalog; resume makes it deterministic.
func cmdRoute(ts *testscript.TestScript, sim *simulation, a []string) {
	kind := map[string]catalog.Kind{"once": catalog.AtMostOnce, "safe": catalog.Idempotent, "stream": catalog.Stream}[a[2]]
	_, resume := option(a, "resume")
	var regions []string
	if region, ok := option(a, "region"); ok {
		regions = []string{region}
	}
	sim.catalog.Routes = append(sim.catalog.Routes, catalog.Route{
		Name: a[0], Host: a[0], Prefix: "/", Kind: kind, Timeout: 10 * time.Second, LatencyObjective: 300 * time.Millisecond,
		MaxRuns: number(ts, a, "attempts"), Deterministic: resume, Public: true, Regions: regions,
		Pools: []catalog.PoolWeight{{Pool: core.Pool(a[1]), Weight: 1}},
	})
}

// apply-catalog VERSION [ROUTER...]: routers, or all, apply the catalog as a version.
func cmdApplyCatalog(ts *testscript.TestScript, sim *simulation, a []string) {
	version, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	sim.catalog.Version = max(version, sim.catalog.Version)
	sim.each(a[1:], func(f *fleet.Fleet) {
		c := sim.catalog
		c.Version, c.Source = version, []byte("catalog")
		f.ApplyCatalog(&c)
	})
}

// upstream ID POOL DC [cold=D] [draining] [started=N] [sequence=N] [release=R] [age=D] [slots=N]
// [unread]: writes an entry; age is the time since the start of the process, instead of
// started, which all routers read unless unread.
func cmdUpstream(ts *testscript.TestScript, sim *simulation, a []string) {
	_, draining := option(a, "draining")
	e := roster.Entry{
		ID: core.UpstreamID(a[0]), Pool: core.Pool(a[1]), DataCentre: core.DataCentre(a[2]), Address: "at-" + a[0],
		StartedMS: int64(number(ts, a, "started")), Sequence: uint64(number(ts, a, "sequence")),
		Draining: draining, ColdRemaining: duration(ts, a, "cold"),
	}
	e.Release, _ = option(a, "release")
	e.Slots = number(ts, a, "slots")
	if age, ok := option(a, "age"); ok && age != "" {
		e.StartedMS = sim.now.Add(-duration(ts, a, "age")).UnixMilli()
	}
	sim.write(a[0], &e)
	if _, unread := option(a, "unread"); !unread {
		sim.read(nil)
	}
}

// write appends a record to the store's log; a nil entry removes the old one.
func (sim *simulation) write(id string, e *roster.Entry) {
	r := fleet.Record{Offset: uint64(len(sim.log)), Upstream: core.UpstreamID(id), Entry: e}
	delete(sim.entries, r.Upstream)
	if e != nil {
		r.Source = []byte(strconv.Itoa(len(sim.texts)))
		e.Source = r.Source
		sim.texts = append(sim.texts, *e)
		sim.entries[r.Upstream] = *e
	}
	sim.log = append(sim.log, r)
}

// written returns the entry whose text is an index into those ever written.
func (sim *simulation) written(text []byte) roster.Entry {
	i, err := strconv.Atoi(string(text))
	if err != nil || i >= len(sim.texts) {
		return roster.Entry{}
	}
	return sim.texts[i]
}

// read lets routers, or all, read the store's log, and returns the segments that they
// send to the others.
func (sim *simulation) read(ids []string) map[string]fleet.FeedSegment {
	segments := map[string]fleet.FeedSegment{}
	sim.each(ids, func(f *fleet.Fleet) {
		next, _ := f.ReadOffset()
		if offset, ok := sim.pendingReads[string(f.Settings().ID)]; ok {
			next = offset
			delete(sim.pendingReads, string(f.Settings().ID))
		}
		if next > uint64(len(sim.log)) {
			// The store doesn't have the offset.
			f.MarkRecordsMissed()
		}
		if _, synced := f.ReadOffset(); !synced {
			f.ApplyFullRead(sim.now, sim.now, sim.era, uint64(len(sim.log)), lo.Values(sim.entries))
			return
		}
		r := fleet.FeedSegment{Era: sim.era, From: next, Next: uint64(len(sim.log)), Records: slices.Clone(sim.log[next:])}
		if _, segment := f.ApplyRead(sim.now, sim.now, r); segment != nil {
			segments[string(f.Settings().ID)] = *segment
		}
	})
	return segments
}

// begin-read ROUTER: begins a read of the store, which the next read completes.
func cmdBeginRead(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.pendingReads[a[0]], _ = sim.routers[a[0]].ReadOffset()
}

// read-nothing ROUTER: reads the store, which shows nothing new yet.
func cmdReadNothing(_ *testscript.TestScript, sim *simulation, a []string) {
	f := sim.routers[a[0]]
	next, _ := f.ReadOffset()
	f.ApplyRead(sim.now, sim.now, fleet.FeedSegment{Era: sim.era, From: next, Next: next})
}

// read [ROUTER...]: routers, or all, read the store and send nothing.
func cmdRead(_ *testscript.TestScript, sim *simulation, a []string) { sim.read(a) }

// announce [ROUTER...]: routers, or those due to read, read the store and send what
// they have read to the others.
func cmdAnnounce(_ *testscript.TestScript, sim *simulation, a []string) {
	if len(a) == 0 {
		a = slices.DeleteFunc(slices.Clone(sim.order), func(id string) bool { return sim.routers[id].NextReadIn(sim.now, false) > 0 })
	}
	for from, read := range sim.read(a) {
		for _, e := range sim.routers[from].Spread(sim.now, fleet.Message{Segment: &read}) {
			sim.deliver(from, string(e.To), e.Message)
		}
	}
}

// due-readers COUNT [ROUTER...]: checks how many routers are due to read the store.
func cmdDueReaders(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	sim.each(a[1:], func(f *fleet.Fleet) {
		if f.NextReadIn(sim.now, false) <= 0 {
			got++
		}
	})
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("routers due to read: got %d, want %s", got, a[0])
	}
}

// remove ID [unread]: removes an entry, which all routers read unless unread.
func cmdRemove(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.write(a[0], nil)
	if _, unread := option(a, "unread"); !unread {
		sim.read(nil)
	}
}

// out-of-service [DC...]: sets the data centres that are out of service.
func cmdOutOfService(_ *testscript.TestScript, sim *simulation, a []string) {
	dataCentres := map[core.DataCentre]bool{}
	for _, dc := range a {
		dataCentres[core.DataCentre(dc)] = true
	}
	sim.each(nil, func(f *fleet.Fleet) { f.SetOutOfService(sim.now, dataCentres) })
}

// store unavailable|recovered: a read of the store fails, which takes failedRead, or
// all routers read it again.
func cmdStore(_ *testscript.TestScript, sim *simulation, a []string) {
	if a[0] == "recovered" {
		sim.read(nil)
		return
	}
	// A failed read takes so long that the routers' views become stale.
	sim.now = sim.now.Add(failedRead)
	sim.each(nil, func(f *fleet.Fleet) { f.RecordReadFailure(sim.now) })
}

// failedRead is how long after the last successful read a read of the store fails.
const failedRead = 1500 * time.Millisecond

// disconnect A B: messages between two routers are lost.
func cmdDisconnect(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.disconnected[[2]string{a[0], a[1]}], sim.disconnected[[2]string{a[1], a[0]}] = true, true
}

// reconnect: no messages are lost.
func cmdReconnect(_ *testscript.TestScript, sim *simulation, _ []string) { clear(sim.disconnected) }

// delay FROM TO: messages from one router to another wait.
func cmdDelay(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.delayed[[2]string{a[0], a[1]}] = true
}

// deliver: delivers the messages that wait, and delays no more.
func cmdDeliver(_ *testscript.TestScript, sim *simulation, _ []string) {
	clear(sim.delayed)
	held := sim.held
	sim.held = nil
	for _, h := range held {
		sim.deliver(h.from, h.to, h.message)
	}
}

// heartbeats [ROUNDS]: the routers, or all but the frozen ones, send their periodic
// messages, and reply. It takes heartbeatRounds rounds, or one, until each router knows
// what any other one does.
func cmdHeartbeats(ts *testscript.TestScript, sim *simulation, a []string) {
	rounds := heartbeatRounds
	if len(a) > 0 {
		var err error
		rounds, err = strconv.Atoi(a[0])
		ts.Check(err)
	}
	for range rounds {
		sim.sendHeartbeats()
	}
}

// sendHeartbeats lets all routers but the frozen ones send their periodic messages once.
func (sim *simulation) sendHeartbeats() {
	for _, from := range sim.order {
		if sim.frozen[from] {
			continue
		}
		messages, _ := sim.routers[from].Outgoing(sim.now)
		for _, e := range messages {
			sim.deliver(from, string(e.To), e.Message)
		}
	}
}

// runStep is the time between two rounds of messages of the verb run.
const runStep = 500 * time.Millisecond

// run DURATION: advances the clock in steps, in each of which all routers send their
// periodic messages.
func cmdRun(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(runStep)
		sim.sendHeartbeats()
	}
}

// heartbeatRounds is how many rounds of messages it takes until each router knows what
// any other one does: a heartbeat, a digest between data centres and one within.
const heartbeatRounds = 3

func (sim *simulation) deliver(from, to string, m fleet.Message) {
	if sim.disconnected[[2]string{from, to}] || sim.frozen[from] || sim.frozen[to] || sim.routers[to] == nil {
		return
	}
	if sim.delayed[[2]string{from, to}] {
		sim.held = append(sim.held, heldMessage{from, to, m})
		return
	}
	if sim.routers[from].Settings().DataCentre != sim.routers[to].Settings().DataCentre {
		sim.crossings++
	}
	effects := sim.routers[to].Receive(sim.now, member(sim.routers[from]), m)
	if effects.Reply != nil {
		sim.deliver(to, from, *effects.Reply)
	}
	for _, e := range effects.Forward {
		sim.deliver(to, string(e.To), e.Message)
	}
}

// advance DURATION: advances the clock.
func cmdAdvance(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	sim.now = sim.now.Add(d)
}

// send NAME ROUTER ROUTE [parts=ID:TOKENS,...] [content=N] [count=N]: sends requests
// NAME, NAME1 and so on to a router, which admits them and chooses upstreams.
func cmdSend(ts *testscript.TestScript, sim *simulation, a []string) {
	r := fleet.CallerRequest{ID: a[0], Host: a[2], Path: "/", Content: core.Digest(number(ts, a, "content"))}
	if text, ok := option(a, "parts"); ok {
		for _, part := range strings.Split(text, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			n, err := strconv.Atoi(tokens)
			ts.Check(err)
			r.Parts = append(r.Parts, prefix.Part{ID: core.Digest(id[0]), Tokens: n})
		}
	}
	for i := range max(number(ts, a, "count"), 1) {
		name := a[0]
		if i > 0 {
			name += strconv.Itoa(i)
		}
		r.ID = name
		s := &sentRequest{router: sim.routers[a[1]]}
		sim.requests[name] = s
		if s.request, s.refusal = s.router.Admit(sim.now, r); s.refusal == nil {
			var effects fleet.PartEffects
			if _, s.refusal, effects = s.router.CheckParts(sim.now, s.request); s.refusal == nil {
				sim.choose(s)
			}
			sim.spread(s.router, effects.Notify)
		}
	}
}

// choose makes the next attempt of a request. A router that has to ask for quota gets the
// response at once, or none if the allotter can't be reached.
func (sim *simulation) choose(s *sentRequest) {
	for sim.chooseOnce(s); s.refusal == nil && s.target.Ask != nil; sim.chooseOnce(s) {
		s.request.Asks++
		from, to := string(s.router.Settings().ID), string(s.target.Ask.To)
		if sim.disconnected[[2]string{from, to}] || sim.frozen[to] {
			sim.now = sim.now.Add(quotaTimeout)
			s.router.RecordQuotaSilence(sim.now, s.target.ID, s.target.Ask.To)
			continue
		}
		sim.deliver(from, to, s.target.Ask.Message)
	}
	s.sentAt = sim.now
}

// quotaTimeout is how long a router waits for an allotter.
const quotaTimeout = 60 * time.Millisecond

func (sim *simulation) chooseOnce(s *sentRequest) {
	switch {
	case s.request.Pool.Engine == nil:
		s.target, s.refusal = fleet.Choose(sim.now, s.router, fleet.FreePlaces{}, s.request, s.tried)
	case s.request.Route.Repeatable():
		s.target, s.refusal = fleet.Choose(sim.now, s.router, fleet.Affinity{}, s.request, s.tried)
	default:
		s.target, s.refusal = fleet.Choose(sim.now, s.router, fleet.LocalFirst{}, s.request, s.tried)
	}
}

// retry NAME: makes another attempt at another upstream.
func cmdRetry(_ *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	s.tried = append(s.tried, s.target.ID)
	s.done = false
	sim.choose(s)
}

// finish NAME OUTCOME: ends an attempt.
func cmdFinish(ts *testscript.TestScript, sim *simulation, a []string) {
	outcomes := map[string]health.Outcome{
		"good": health.Good, "unreachable": health.Unreachable, "broken": health.Broken, "silent": health.TimedOut,
		"failed": health.Failed, "shed": health.Shed, "unknown": health.Unknown,
	}
	s := sim.requests[a[0]]
	outcome, ok := outcomes[a[1]]
	if !ok || s.refusal != nil {
		ts.Fatalf("request %s can't finish with %s", a[0], a[1])
	}
	if outcome == health.Good {
		s.router.RecordPrefill(sim.now, s.request, s.target)
	}
	s.router.FinishAttempt(sim.now, s.target, outcome, nil)
	if outcome == health.Unreachable {
		s.detours.Unreached++
	}
	s.done = true
}

// sent-to NAME UPSTREAM...: checks that a request was sent to one of these upstreams.
func cmdSentTo(ts *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	if s.refusal != nil {
		ts.Fatalf("request %s: got refusal %s, want one of %v", a[0], s.refusal.Code, a[1:])
	}
	for _, want := range a[1:] {
		if string(s.target.ID) == want {
			return
		}
	}
	ts.Fatalf("request %s: got %s, want one of %v", a[0], s.target.ID, a[1:])
}

// fetches-from NAME UPSTREAM|none: checks where the target fetches prompts from.
func cmdFetchesFrom(ts *testscript.TestScript, sim *simulation, a []string) {
	want := "at-" + a[1]
	if a[1] == "none" {
		want = ""
	}
	if got := sim.requests[a[0]].target.FetchFrom; got != want {
		ts.Fatalf("request %s: got a fetch from %q, want %q", a[0], got, want)
	}
}

// refused NAME CODE: checks that a request was refused.
func cmdRefused(ts *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	if s.refusal == nil || s.refusal.Code != a[1] {
		ts.Fatalf("request %s: got %v, want refusal %s", a[0], s.refusal, a[1])
	}
}

// running-at-most UPSTREAM MAX: checks how many requests run at an upstream.
func cmdRunningAtMost(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	for _, s := range sim.requests {
		if s.refusal == nil && !s.done && string(s.target.ID) == a[0] {
			got++
		}
	}
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	if got > want {
		ts.Fatalf("running at %s: got %d, want at most %d", a[0], got, want)
	}
}

// exclusion ROUTER UPSTREAM REASON|none: checks the exclusion in a router's status.
func cmdExclusion(ts *testscript.TestScript, sim *simulation, a []string) {
	want := fleet.Exclusion(a[2])
	if want == "none" {
		want = fleet.NotExcluded
	}
	for _, u := range sim.routers[a[0]].Status(sim.now).Upstreams {
		if string(u.ID) == a[1] {
			if u.Exclusion != want {
				ts.Fatalf("upstream %s at %s: got %q, want %q", a[1], a[0], u.Exclusion, want)
			}
			return
		}
	}
	ts.Fatalf("router %s: got no upstream %s", a[0], a[1])
}

// readiness ROUTER REASON|serving: checks the readiness of a router.
func cmdReadiness(ts *testscript.TestScript, sim *simulation, a []string) {
	want := a[1]
	if want == "serving" {
		want = ""
	}
	if got := string(sim.routers[a[0]].Readiness(sim.now)); got != want {
		ts.Fatalf("router %s: got %q, want %q", a[0], got, want)
	}
}

// catalog-version ROUTER VERSION: checks the version in force at a router.
func cmdCatalogVersion(ts *testscript.TestScript, sim *simulation, a []string) {
	got := uint64(0)
	if c := sim.routers[a[0]].Catalog(); c != nil {
		got = c.Version
	}
	if want, err := strconv.ParseUint(a[1], 10, 64); err != nil || got != want {
		ts.Fatalf("version at %s: got %d, want %s", a[0], got, a[1])
	}
}

// break-connection NAME: breaks the connection while the upstream runs the request.
func cmdBreakConnection(_ *testscript.TestScript, sim *simulation, a []string) {
	s := sim.requests[a[0]]
	s.router.FinishAttempt(sim.now, s.target, health.Broken, nil)
	s.router.RecordBrokenConnection(sim.now, s.request, s.target)
	sim.spread(s.router, s.router.RecordBreak(sim.now, s.request, s.target).Notify)
	s.done = true
}

// answer NAME...: the answers to requests are under way.
func cmdAnswer(_ *testscript.TestScript, sim *simulation, a []string) {
	for _, name := range a {
		s := sim.requests[name]
		sim.spread(s.router, s.router.RecordAnswer(sim.now, s.request).Notify)
	}
}

// refused-parts ROUTER COUNT: checks the number of parts under which a router refuses
// requests.
func cmdRefusedParts(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.routers[a[0]].RefusedParts()
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("parts refused at %s: got %d, want %s", a[0], got, a[1])
	}
}

// expire-parts: all routers drop the parts that were not used for long.
func cmdExpireParts(_ *testscript.TestScript, sim *simulation, _ []string) {
	sim.each(nil, func(f *fleet.Fleet) { f.ExpireParts(sim.now) })
}

// spread sends a message of a router to all others, if there is one.
func (sim *simulation) spread(from *fleet.Fleet, m *fleet.Message) {
	if m == nil {
		return
	}
	for _, e := range from.Spread(sim.now, *m) {
		sim.deliver(string(from.Settings().ID), string(e.To), e.Message)
	}
}

// retries-at-most MAX NAME...: checks how many retries the routers of these requests
// permit together if each tries a hundred times for each request.
func cmdRetriesAtMost(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	for _, name := range a[1:] {
		for range 100 {
			if s := sim.requests[name]; s.router.TakeRetry(sim.now, s.request) {
				got++
			}
		}
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got > want || got == 0 {
		ts.Fatalf("retries: got %d, want some and at most %s", got, a[0])
	}
}

// inventory-targets COUNT ROUTER...: checks how many engines these routers query for
// their cache inventory.
func cmdInventoryTargets(ts *testscript.TestScript, sim *simulation, a []string) {
	got := 0
	for _, id := range a[1:] {
		engines, _ := sim.routers[id].InventoryTargets(sim.now)
		got += len(engines)
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("inventory targets of %v: got %d engines, want %s", a[1:], got, a[0])
	}
}

// retry-slack N: sets the slack of the retry budget of routers that start later.
func cmdRetrySlack(ts *testscript.TestScript, sim *simulation, a []string) {
	n, err := strconv.ParseFloat(a[0], 64)
	ts.Check(err)
	sim.slack = n
}

// at-most-per-upstream MAX NAME...: checks that no upstream got more than MAX of these
// requests.
func cmdAtMostPerUpstream(ts *testscript.TestScript, sim *simulation, a []string) {
	most, err := strconv.Atoi(a[0])
	ts.Check(err)
	count := map[core.UpstreamID]int{}
	for _, name := range a[1:] {
		id := sim.requests[name].target.ID
		if count[id]++; count[id] > most {
			ts.Fatalf("requests at %s: got more than %d", id, most)
		}
	}
}

// freeze ROUTER...: routers neither send nor receive.
func cmdFreeze(_ *testscript.TestScript, sim *simulation, a []string) {
	for _, id := range a {
		sim.frozen[id] = true
	}
}

// thaw ROUTER...: frozen routers send and receive again, with all that they knew.
func cmdThaw(_ *testscript.TestScript, sim *simulation, a []string) {
	for _, id := range a {
		delete(sim.frozen, id)
	}
}

// crossings MOST: checks how many messages went between data centres since the last
// check, and that there were some.
func cmdCrossings(ts *testscript.TestScript, sim *simulation, a []string) {
	if want, err := strconv.Atoi(a[0]); err != nil || sim.crossings > want || sim.crossings == 0 {
		ts.Fatalf("messages between data centres: got %d, want some and at most %s", sim.crossings, a[0])
	}
	sim.crossings = 0
}

// routers-known ROUTER COUNT: checks how many other routers a router takes to exist.
func cmdRoutersKnown(ts *testscript.TestScript, sim *simulation, a []string) {
	got := len(sim.routers[a[0]].Members(sim.now))
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("routers known to %s: got %d, want %s", a[0], got, a[1])
	}
}

// load ROUTER UPSTREAM WANT: checks the load of an upstream in a router's status.
func cmdLoad(ts *testscript.TestScript, sim *simulation, a []string) {
	for _, u := range sim.routers[a[0]].Status(sim.now).Upstreams {
		if string(u.ID) != a[1] {
			continue
		}
		if got := strconv.Itoa(u.Load); got != a[2] {
			ts.Fatalf("load of %s at %s: got %s, want %s", a[1], a[0], got, a[2])
		}
		return
	}
	ts.Fatalf("router %s: got no upstream %s", a[0], a[1])
}

// digest FROM TO MEMBER AGE: a router sends a digest with one member that it has seen.
func cmdDigest(ts *testscript.TestScript, sim *simulation, a []string) {
	age, err := time.ParseDuration(a[3])
	ts.Check(err)
	from := sim.routers[a[0]].Settings()
	sim.deliver(a[0], a[1], fleet.Message{Digest: &fleet.Digest{
		Sources: []fleet.Source{{DataCentre: from.DataCentre, Relay: from.ID, AgeMS: age.Milliseconds()}},
		Members: []fleet.SeenMember{{Member: fleet.Member{ID: core.RouterID(a[2]), DataCentre: from.DataCentre}, AgeMS: age.Milliseconds()}},
	}})
}

// report NAME RUNNING: the upstream of a request reports its load while it runs the
// request.
func cmdReport(ts *testscript.TestScript, sim *simulation, a []string) {
	r := sim.requests[a[0]]
	running, err := strconv.Atoi(a[1])
	ts.Check(err)
	if full := r.router.RecordLoad(sim.now, r.target, load.Report{Running: running}); full != nil {
		sim.spread(r.router, full)
	}
}

// says NAME LIMIT|none|unclear|leaving|retry-after DURATION: the answer to a request states
// a limit of requests per second, that the upstream leaves, or that it wants nothing for a
// time. The router tells the others.
func cmdSays(ts *testscript.TestScript, sim *simulation, a []string) {
	r := sim.requests[a[0]]
	var said statement.Answer
	switch a[1] {
	case "none":
	case "leaving":
		said.Leaving = true
	case "retry-after":
		after, err := time.ParseDuration(a[2])
		ts.Check(err)
		said.RetryAfter = after
	case "unclear":
		said.Limit.Unclear = true
	default:
		perSecond, err := strconv.ParseFloat(a[1], 64)
		ts.Check(err)
		said.Limit = statement.NewLimit(perSecond)
	}
	sim.spread(r.router, r.router.RecordStatement(sim.now, r.target, said).Notify)
}

const (
	// trafficStep is the time between two requests to each router in the verb traffic,
	// trafficRunTime how long a request runs.
	trafficStep    = 50 * time.Millisecond
	trafficRunTime = 30 * time.Millisecond
	// heartbeatSteps is the number of steps between two rounds of heartbeats.
	heartbeatSteps = 4
)

// traffic NAME DURATION ROUTE ROUTER... [parts=ID:TOKENS,...]: each router gets requests at
// regular intervals, which complete, and all routers send their periodic messages. The
// answers of an upstream say what it said last.
func cmdTraffic(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[1])
	ts.Check(err)
	var options []string
	routers := slices.DeleteFunc(slices.Clone(a[3:]), func(arg string) bool {
		if strings.Contains(arg, "=") {
			options = append(options, arg)
			return true
		}
		return false
	})
	step := 0
	for end := sim.now.Add(d); sim.now.Before(end); step++ {
		var sent []string
		for _, id := range routers {
			name := a[0] + id + "-" + strconv.Itoa(step)
			cmdSend(ts, sim, append([]string{name, id, a[2]}, options...))
			if sim.requests[name].refusal == nil {
				sent = append(sent, name)
			}
		}
		sim.now = sim.now.Add(trafficRunTime)
		for _, name := range sent {
			cmdFinish(ts, sim, []string{name, "good"})
		}
		sim.now = sim.now.Add(trafficStep - trafficRunTime)
		if step%heartbeatSteps == 0 {
			sim.sendHeartbeats()
		}
	}
}

// most-within UPSTREAM DURATION MAX [MIN]: checks the highest number of requests that an
// upstream got within a span of this length, of those sent so far.
func cmdMostWithin(ts *testscript.TestScript, sim *simulation, a []string) {
	span, err := time.ParseDuration(a[1])
	ts.Check(err)
	var times []time.Time
	for _, r := range sim.requests {
		if r.refusal == nil && string(r.target.ID) == a[0] {
			times = append(times, r.sentAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	got, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		got = max(got, i-first+1)
	}
	most, err := strconv.Atoi(a[2])
	ts.Check(err)
	least := 0
	if len(a) > 3 {
		least, err = strconv.Atoi(a[3])
		ts.Check(err)
	}
	if got > most || got < least {
		ts.Fatalf("requests to %s within %s: got %d, want %d to %d", a[0], a[1], got, least, most)
	}
	clear(sim.requests)
}

// limited ROUTER COUNT: checks how many upstreams a router takes to be limited.
func cmdLimited(ts *testscript.TestScript, sim *simulation, a []string) {
	got := sim.routers[a[0]].LimitedUpstreams(sim.now)
	if want, err := strconv.Atoi(a[1]); err != nil || got != want {
		ts.Fatalf("limited upstreams at %s: got %d, want %s", a[0], got, a[1])
	}
}

// retry-after NAME LEAST MOST: checks when the caller of a refused request may return.
func cmdRetryAfter(ts *testscript.TestScript, sim *simulation, a []string) {
	least, err := time.ParseDuration(a[1])
	ts.Check(err)
	most, err := time.ParseDuration(a[2])
	ts.Check(err)
	r := sim.requests[a[0]]
	if r.refusal == nil || r.refusal.RetryAfter < least || r.refusal.RetryAfter > most {
		ts.Fatalf("request %s: got refusal %v, want one with a return within %s to %s", a[0], r.refusal, least, most)
	}
}

// restore-store COUNT: the store comes back from a copy of its first COUNT records. What
// was written later is lost, and the next records get the same offsets.
func cmdRestoreStore(ts *testscript.TestScript, sim *simulation, a []string) {
	count, err := strconv.Atoi(a[0])
	ts.Check(err)
	sim.era++
	sim.log = slices.Clone(sim.log[:count])
	clear(sim.entries)
	for _, r := range sim.log {
		delete(sim.entries, r.Upstream)
		if r.Entry != nil {
			sim.entries[r.Upstream] = *r.Entry
		}
	}
}
