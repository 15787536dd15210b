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
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
)

// world is a set of routers with a made clock. The store and the upstreams are
// what the script says.
type world struct {
	now     time.Time
	routers map[string]*fleet.Fleet
	order   []string
	catalog catalog.Catalog
	// log is what was written to the store of upstreams, entries the newest of each.
	log      []fleet.Record
	entries  map[core.UpstreamID]roster.Entry
	asked    map[string]uint64
	regions  map[core.DataCentre]string
	cuts     map[[2]string]bool
	requests map[string]*sent
	slack    float64
}

// sent is a request that a script follows.
type sent struct {
	router  *fleet.Fleet
	request fleet.Request
	target  fleet.Target
	refusal *core.Refusal
	tried   []core.UpstreamID
	done    bool
}

type worldKey struct{}

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = &world{
				now: start, routers: map[string]*fleet.Fleet{}, entries: map[core.UpstreamID]roster.Entry{},
				asked: map[string]uint64{}, regions: map[core.DataCentre]string{}, cuts: map[[2]string]bool{}, requests: map[string]*sent{}, slack: 56,
				catalog: catalog.Catalog{Pools: map[core.Pool]catalog.Pool{}},
			}
			return nil
		},
		Cmds: commands(),
	})
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, *world, []string){
		"router": cmdRouter, "pool": cmdPool, "route": cmdRoute, "apply": cmdApply, "upstream": cmdUpstream,
		"remove": cmdRemove, "ask": cmdAsk, "lags": cmdLags, "read": cmdRead, "tell": cmdTell, "due": cmdDue, "out": cmdOut, "store": cmdStore, "beats": cmdBeats, "cut": cmdCut, "heal": cmdHeal,
		"after": cmdAfter, "send": cmdSend, "again": cmdAgain, "end": cmdEnd, "to": cmdTo, "fetch": cmdFetch,
		"refused": cmdRefused, "running": cmdRunning, "ready": cmdReady, "version": cmdVersion, "break": cmdBreak,
		"retries": cmdRetries, "survey": cmdSurvey, "slack": cmdSlack, "spread": cmdSpread, "left": cmdLeft, "region": cmdRegion,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		wrapped[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			w, ok := ts.Value(worldKey{}).(*world)
			if !ok {
				ts.Fatalf("no world")
			}
			run(ts, w, args)
		}
	}
	return wrapped
}

// option returns the value of key=value among some arguments.
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

func length(ts *testscript.TestScript, args []string, key string) time.Duration {
	text, ok := option(args, key)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func (w *world) each(args []string, fn func(*fleet.Fleet)) {
	for _, id := range w.order {
		if len(args) == 0 || strings.Contains(" "+strings.Join(args, " ")+" ", " "+id+" ") {
			fn(w.routers[id])
		}
	}
}

// router ID DC [unlisted]: a router starts and reads the list of routers.
func cmdRouter(_ *testscript.TestScript, w *world, a []string) {
	f := fleet.New(w.now, fleet.Settings{
		ID: core.RouterID(a[0]), DataCentre: core.DataCentre(a[1]), Address: a[0], Multiple: 2,
		Regions: w.regions, Drain: 2 * time.Second, Evacuation: 5 * time.Second, Incarnation: core.Incarnation(w.now.UnixMilli()),
		Retry: retry.Terms{Ratio: 0.2, Slack: w.slack, Window: 10 * time.Second},
		Catalog: func([]byte) (*catalog.Catalog, error) {
			c := w.catalog
			return &c, nil
		},
		Entry: func(_ core.UpstreamID, text []byte) (roster.Entry, error) { return w.written(text), nil },
	})
	if _, known := w.routers[a[0]]; !known {
		w.order = append(w.order, a[0])
	}
	w.routers[a[0]] = f
	f.ReadAll(w.now, w.now, uint64(len(w.log)), lo.Values(w.entries))
	if _, unlisted := option(a, "unlisted"); unlisted {
		return
	}
	for _, id := range w.order {
		f.Meet(w.now, member(w.routers[id]))
		w.routers[id].Meet(w.now, member(f))
	}
	f.Listed()
}

func member(f *fleet.Fleet) fleet.Member {
	s := f.Self()
	return fleet.Member{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Incarnation: s.Incarnation}
}

// region DC REGION: the region of a data centre.
func cmdRegion(_ *testscript.TestScript, w *world, a []string) {
	w.regions[core.DataCentre(a[0])] = a[1]
}

// pool NAME [engine=TOKENS] [cold=RATE].
func cmdPool(ts *testscript.TestScript, w *world, a []string) {
	p := catalog.Pool{Name: core.Pool(a[0]), ColdRate: float64(number(ts, a, "cold"))}
	if tokens := number(ts, a, "engine"); tokens > 0 {
		p.Engine = &catalog.Engine{MemoryTokens: tokens}
	}
	w.catalog.Pools[p.Name] = p
}

// route NAME POOL KIND [attempts=N] [resume] [home=REGION]: the route of host NAME.
func cmdRoute(ts *testscript.TestScript, w *world, a []string) {
	kind := map[string]catalog.Kind{"once": catalog.Once, "safe": catalog.Safe, "stream": catalog.Stream}[a[2]]
	_, resume := option(a, "resume")
	var homes []string
	if home, ok := option(a, "home"); ok {
		homes = []string{home}
	}
	w.catalog.Routes = append(w.catalog.Routes, catalog.Route{
		Name: a[0], Host: a[0], Prefix: "/", Kind: kind, Timeout: 10 * time.Second, Objective: 300 * time.Millisecond,
		Attempts: number(ts, a, "attempts"), Resume: resume, Public: true, Regions: homes,
		Shares: []catalog.Share{{Pool: core.Pool(a[1]), Weight: 1}},
	})
}

// apply VERSION [ROUTER...]: the routers read a configuration.
func cmdApply(ts *testscript.TestScript, w *world, a []string) {
	version, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	w.catalog.Version = max(version, w.catalog.Version)
	w.each(a[1:], func(f *fleet.Fleet) {
		c := w.catalog
		c.Version, c.Source = version, []byte("catalog")
		f.Configure(&c)
	})
}

// upstream ID POOL DC [cold=D] [draining] [born=N] [sequence=N] [unread]: an entry,
// which all routers read unless it says otherwise.
func cmdUpstream(ts *testscript.TestScript, w *world, a []string) {
	_, draining := option(a, "draining")
	e := roster.Entry{
		ID: core.UpstreamID(a[0]), Pool: core.Pool(a[1]), DataCentre: core.DataCentre(a[2]), Address: "at-" + a[0],
		Born: int64(number(ts, a, "born")), Sequence: uint64(number(ts, a, "sequence")),
		Draining: draining, ColdLeft: length(ts, a, "cold"),
	}
	w.write(a[0], &e)
	if _, unread := option(a, "unread"); !unread {
		w.read(nil)
	}
}

// write adds a record to the store's log; without an entry, one is removed.
func (w *world) write(id string, e *roster.Entry) {
	r := fleet.Record{Offset: uint64(len(w.log)), Upstream: core.UpstreamID(id), Entry: e}
	delete(w.entries, r.Upstream)
	if e != nil {
		r.Source = []byte(strconv.Itoa(len(w.log)))
		e.Source = r.Source
		w.entries[r.Upstream] = *e
	}
	w.log = append(w.log, r)
}

// written returns the entry that a text names by its place in the log.
func (w *world) written(text []byte) roster.Entry {
	i, err := strconv.Atoi(string(text))
	if err != nil || i >= len(w.log) || w.log[i].Entry == nil {
		return roster.Entry{}
	}
	return *w.log[i].Entry
}

// read lets routers read the store's log, all if none is named, and returns what
// they tell.
func (w *world) read(ids []string) map[string]fleet.Read {
	told := map[string]fleet.Read{}
	w.each(ids, func(f *fleet.Fleet) {
		next, _ := f.ReadNext()
		if asked, ok := w.asked[string(f.Self().ID)]; ok {
			next = asked
			delete(w.asked, string(f.Self().ID))
		}
		r := fleet.Read{From: next, Next: uint64(len(w.log)), Records: slices.Clone(w.log[next:])}
		if _, tell := f.ReadOn(w.now, w.now, r); tell != nil {
			told[string(f.Self().ID)] = *tell
		}
	})
	return told
}

// ask ROUTER: its next read of the store was sent now.
func cmdAsk(_ *testscript.TestScript, w *world, a []string) {
	w.asked[a[0]], _ = w.routers[a[0]].ReadNext()
}

// lags ROUTER: the router reads the store, which shows nothing new yet.
func cmdLags(_ *testscript.TestScript, w *world, a []string) {
	f := w.routers[a[0]]
	next, _ := f.ReadNext()
	f.ReadOn(w.now, w.now, fleet.Read{From: next, Next: next})
}

// read [ROUTER...]: these routers read the store, and tell nobody.
func cmdRead(_ *testscript.TestScript, w *world, a []string) { w.read(a) }

// tell [ROUTER...]: these routers, or those that are to, read the store and tell
// what they have read.
func cmdTell(_ *testscript.TestScript, w *world, a []string) {
	if len(a) == 0 {
		a = slices.DeleteFunc(slices.Clone(w.order), func(id string) bool { return w.routers[id].ReadDue(w.now, false) > 0 })
	}
	for from, read := range w.read(a) {
		for _, to := range w.order {
			if to != from {
				copied := read
				copied.Records = slices.Clone(read.Records)
				w.deliver(from, to, fleet.Message{Read: &copied})
			}
		}
	}
}

// due COUNT [ROUTER...]: how many of these routers are to read the store now.
func cmdDue(ts *testscript.TestScript, w *world, a []string) {
	got := 0
	w.each(a[1:], func(f *fleet.Fleet) {
		if f.ReadDue(w.now, false) <= 0 {
			got++
		}
	})
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("routers that are to read: got %d, want %s", got, a[0])
	}
}

// remove ID [unread]: the entry is gone, as all routers read unless it says
// otherwise.
func cmdRemove(_ *testscript.TestScript, w *world, a []string) {
	w.write(a[0], nil)
	if _, unread := option(a, "unread"); !unread {
		w.read(nil)
	}
}

// out [DC...]: these data centres are out of service, and no others.
func cmdOut(_ *testscript.TestScript, w *world, a []string) {
	centres := map[core.DataCentre]bool{}
	for _, dc := range a {
		centres[core.DataCentre(dc)] = true
	}
	w.each(nil, func(f *fleet.Fleet) { f.Out(w.now, centres) })
}

// store away|back: the store fails, or answers again.
func cmdStore(_ *testscript.TestScript, w *world, a []string) {
	if a[0] == "back" {
		w.read(nil)
		return
	}
	// What was known is late by the time that a failed read takes.
	w.now = w.now.Add(failedRead)
	w.each(nil, func(f *fleet.Fleet) { f.ReadFailed(w.now) })
}

// failedRead is how long after the last good read a read of the store fails.
const failedRead = 1500 * time.Millisecond

// cut A B, heal: messages between two routers are lost, or none is.
func cmdCut(_ *testscript.TestScript, w *world, a []string) {
	w.cuts[[2]string{a[0], a[1]}], w.cuts[[2]string{a[1], a[0]}] = true, true
}

func cmdHeal(_ *testscript.TestScript, w *world, _ []string) { clear(w.cuts) }

// beats: each router sends a beat to each other, and they answer.
func cmdBeats(_ *testscript.TestScript, w *world, _ []string) {
	for _, from := range w.order {
		beat := w.routers[from].Beat(w.now)
		for _, to := range w.order {
			if from != to {
				w.deliver(from, to, fleet.Message{Beat: &beat})
			}
		}
	}
}

func (w *world) deliver(from, to string, m fleet.Message) {
	if w.cuts[[2]string{from, to}] {
		return
	}
	if reply := w.routers[to].Receive(w.now, member(w.routers[from]), m).Reply; reply != nil {
		w.deliver(to, from, *reply)
	}
}

func cmdAfter(ts *testscript.TestScript, w *world, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	w.now = w.now.Add(d)
}

// send NAME ROUTER ROUTE [parts=ID:TOKENS,...] [content=N] [count=N].
func cmdSend(ts *testscript.TestScript, w *world, a []string) {
	ask := fleet.Ask{ID: a[0], Host: a[2], Path: "/", Content: core.Digest(number(ts, a, "content"))}
	if text, ok := option(a, "parts"); ok {
		for _, part := range strings.Split(text, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			n, err := strconv.Atoi(tokens)
			ts.Check(err)
			ask.Parts = append(ask.Parts, prefix.Part{ID: core.Digest(id[0]), Tokens: n})
		}
	}
	for i := range max(number(ts, a, "count"), 1) {
		name := a[0]
		if i > 0 {
			name += strconv.Itoa(i)
		}
		ask.ID = name
		s := &sent{router: w.routers[a[1]]}
		w.requests[name] = s
		if s.request, s.refusal = s.router.Admit(w.now, ask); s.refusal == nil {
			w.choose(s)
		}
	}
}

func (w *world) choose(s *sent) {
	switch {
	case s.request.Pool.Engine == nil:
		s.target, s.refusal = fleet.Choose(w.now, s.router, fleet.Spread{}, s.request, s.tried)
	case s.request.Route.Repeatable():
		s.target, s.refusal = fleet.Choose(w.now, s.router, fleet.Affinity{}, s.request, s.tried)
	default:
		s.target, s.refusal = fleet.Choose(w.now, s.router, fleet.Local{}, s.request, s.tried)
	}
}

// again NAME: another attempt is made elsewhere.
func cmdAgain(_ *testscript.TestScript, w *world, a []string) {
	s := w.requests[a[0]]
	s.tried = append(s.tried, s.target.ID)
	s.done = false
	w.choose(s)
}

// end NAME OUTCOME: an attempt ends.
func cmdEnd(ts *testscript.TestScript, w *world, a []string) {
	outcomes := map[string]health.Outcome{
		"good": health.Good, "unreachable": health.Unreachable, "broken": health.Broken, "silent": health.Silent,
		"failed": health.Failed, "shed": health.Shed, "unknown": health.Unknown,
	}
	s := w.requests[a[0]]
	outcome, ok := outcomes[a[1]]
	if !ok || s.refusal != nil {
		ts.Fatalf("request %s can't end with %s", a[0], a[1])
	}
	if outcome == health.Good {
		s.router.Began(w.now, s.request, s.target)
	}
	s.router.Finish(w.now, s.target, outcome, nil)
	s.done = true
}

// to NAME UPSTREAM...: which upstreams a request may have been sent to.
func cmdTo(ts *testscript.TestScript, w *world, a []string) {
	s := w.requests[a[0]]
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

// fetch NAME UPSTREAM|none: from which upstream the target fetches.
func cmdFetch(ts *testscript.TestScript, w *world, a []string) {
	want := "at-" + a[1]
	if a[1] == "none" {
		want = ""
	}
	if got := w.requests[a[0]].target.Fetch; got != want {
		ts.Fatalf("request %s: got a fetch from %q, want %q", a[0], got, want)
	}
}

// refused NAME CODE.
func cmdRefused(ts *testscript.TestScript, w *world, a []string) {
	s := w.requests[a[0]]
	if s.refusal == nil || s.refusal.Code != a[1] {
		ts.Fatalf("request %s: got %v, want refusal %s", a[0], s.refusal, a[1])
	}
}

// running UPSTREAM MAX: how many requests an upstream holds at the most.
func cmdRunning(ts *testscript.TestScript, w *world, a []string) {
	got := 0
	for _, s := range w.requests {
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

// left ROUTER UPSTREAM WHY|none: why the router's status says that an upstream is
// left alone.
func cmdLeft(ts *testscript.TestScript, w *world, a []string) {
	want := fleet.Exclusion(a[2])
	if want == "none" {
		want = fleet.NotExcluded
	}
	for _, u := range w.routers[a[0]].Status(w.now).Upstreams {
		if string(u.ID) == a[1] {
			if u.Left != want {
				ts.Fatalf("upstream %s at %s: got %q, want %q", a[1], a[0], u.Left, want)
			}
			return
		}
	}
	ts.Fatalf("router %s: got no upstream %s", a[0], a[1])
}

// ready ROUTER REASON|serving.
func cmdReady(ts *testscript.TestScript, w *world, a []string) {
	want := a[1]
	if want == "serving" {
		want = ""
	}
	if got := string(w.routers[a[0]].Ready(w.now)); got != want {
		ts.Fatalf("router %s: got %q, want %q", a[0], got, want)
	}
}

// version ROUTER WANT: the version in force.
func cmdVersion(ts *testscript.TestScript, w *world, a []string) {
	got := uint64(0)
	if c := w.routers[a[0]].Current(); c != nil {
		got = c.Version
	}
	if want, err := strconv.ParseUint(a[1], 10, 64); err != nil || got != want {
		ts.Fatalf("version at %s: got %d, want %s", a[0], got, a[1])
	}
}

// break NAME: the connection broke while the upstream ran the request.
func cmdBreak(_ *testscript.TestScript, w *world, a []string) {
	s := w.requests[a[0]]
	s.router.Finish(w.now, s.target, health.Broken, nil)
	s.router.Broke(w.now, s.request, s.target)
	s.done = true
}

// retries MAX NAME...: how many retries the routers of some requests permit
// together, if each tries a hundred times.
func cmdRetries(ts *testscript.TestScript, w *world, a []string) {
	got := 0
	for _, name := range a[1:] {
		for range 100 {
			if s := w.requests[name]; s.router.TakeRetry(w.now, s.request) {
				got++
			}
		}
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got > want || got == 0 {
		ts.Fatalf("retries: got %d, want some and at most %s", got, a[0])
	}
}

// survey COUNT ROUTER...: how many engines some routers ask for their caches.
func cmdSurvey(ts *testscript.TestScript, w *world, a []string) {
	got := 0
	for _, id := range a[1:] {
		engines, _ := w.routers[id].Survey(w.now)
		got += len(engines)
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("survey of %v: got %d engines, want %s", a[1:], got, a[0])
	}
}

// slack N: the slack of the retry budget of routers that start later.
func cmdSlack(ts *testscript.TestScript, w *world, a []string) {
	n, err := strconv.ParseFloat(a[0], 64)
	ts.Check(err)
	w.slack = n
}

// spread MAX NAME...: at most MAX of the requests went to the same upstream.
func cmdSpread(ts *testscript.TestScript, w *world, a []string) {
	most, err := strconv.Atoi(a[0])
	ts.Check(err)
	count := map[core.UpstreamID]int{}
	for _, name := range a[1:] {
		id := w.requests[name].target.ID
		if count[id]++; count[id] > most {
			ts.Fatalf("requests at %s: got more than %d", id, most)
		}
	}
}
