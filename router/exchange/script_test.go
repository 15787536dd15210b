package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/datacentre"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/route"
	"camphorpulley.org/core/upstream"
	"camphorpulley.org/router/backend"
	"camphorpulley.org/router/exchange"
	"camphorpulley.org/router/metrics"
)

// world is a forwarder and its upstreams, which listen on real sockets. A request tries
// them in the order in which they were declared.
type world struct {
	node      *node.Node
	forwarder *exchange.Forwarder
	listed    []upstream.Upstream
	upstreams map[string]*scriptedUpstream
	// arrivals is the upstreams' record of requests in the order of their arrival.
	arrivals *arrivals
	// choiceTime is how long the choice of an upstream takes.
	choiceTime time.Duration
	// status, outcome and body are what the caller of the last request got.
	status  int
	outcome string
	body    string
}

// anyBoot accepts all processes.
type anyBoot struct{}

func (anyBoot) ObserveBoot(core.UpstreamID, string) bool { return true }

func newWorld() *world {
	w := &world{upstreams: map[string]*scriptedUpstream{}, arrivals: newArrivals()}
	sheet := config.Sheet{
		DataCentres: []datacentre.DataCentre{{Name: "dc", Region: "r", Service: datacentre.In}},
		Pools:       []pool.Pool{{Name: "model", Kind: pool.Model}, {Name: "service", Kind: pool.Service}},
	}
	w.node = node.New(time.Now(), node.Settings{
		ID: "r1", DataCentre: "dc", Parse: func([]byte) (config.Sheet, error) { return sheet, nil },
	})
	w.node.ApplySnapshot(time.Now(), config.Snapshot{Revision: config.Revision{Number: 1}, AsOf: 1})
	w.forwarder = exchange.New()
	w.forwarder.Node = w.node
	w.forwarder.Back = backend.New(anyBoot{}, 200*time.Millisecond)
	w.forwarder.ApplyEffects = func(node.Effects) {}
	w.forwarder.AppendSuspect = func(node.SuspectUpdate) {}
	w.forwarder.Log = zap.NewNop()
	w.forwarder.Metrics = &metrics.Metrics{}
	w.forwarder.Candidates = func(_ time.Time, r route.Request) []chat.Candidate {
		time.Sleep(w.choiceTime)
		var all []chat.Candidate
		for _, u := range w.listed {
			if u.Pool == r.Pool && !contains(r.Avoid, u.ID) && (r.Only == "" || r.Only == u.ID) {
				all = append(all, chat.Candidate{ID: u.ID})
			}
		}
		return all
	}
	return w
}

func contains(ids []core.UpstreamID, id core.UpstreamID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

type worldKey struct{}

// TestScripts runs the scripts in testdata. Each sends requests one after the other to
// upstreams that respond with the bytes of files. Commands without a function of their own are
// slow D, which makes the choice of an upstream take some time, and sleep D.
func TestScripts(t *testing.T) {
	all := map[string]func(*testscript.TestScript, *world, []string){
		"upstream": cmdUpstream,
		"respond":  cmdRespond,
		"loads":    cmdLoads,
		"request":  cmdRequest,
		"result":   cmdResult,
		"body":     cmdBody,
		"requests": cmdRequests,
		"left":     cmdLeft,
		"slow":     func(ts *testscript.TestScript, w *world, a []string) { w.choiceTime = duration(ts, a[0]) },
		"sleep":    func(ts *testscript.TestScript, _ *world, a []string) { time.Sleep(duration(ts, a[0])) },
	}
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		cmds[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			w, ok := ts.Value(worldKey{}).(*world)
			if !ok {
				ts.Fatalf("script has no world")
			}
			run(ts, w, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := newWorld()
			env.Values[worldKey{}] = w
			env.Defer(func() {
				for _, u := range w.upstreams {
					_ = u.listener.Close()
				}
			})
			return nil
		},
		Cmds: cmds,
	})
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func expect[T comparable](ts *testscript.TestScript, what string, got, want T) {
	if got != want {
		ts.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// upstream NAME [model]: starts an upstream of the pool service, or of the pool model,
// whose upstreams serve load reports.
func cmdUpstream(ts *testscript.TestScript, w *world, a []string) {
	u, err := newScriptedUpstream(a[0], w.arrivals)
	ts.Check(err)
	w.upstreams[a[0]] = u
	listed := upstream.Upstream{ID: core.UpstreamID(a[0]), Pool: "service", DataCentre: "dc", Address: u.listener.Addr().String()}
	if len(a) > 1 {
		listed.Pool = core.Pool(a[1])
	}
	w.listed = append(w.listed, listed)
	w.node.ApplyList(nil, w.listed)
}

// respond NAME STEP...: sets the response to the next request of the upstream that has none
// yet. A step is a file, whose bytes it sends with $ID replaced by the request's id; a
// duration, for which it waits; hang: it works until the router closes the connection; close:
// it closes the connection; reset: it resets it; or and: it reads the next request while it carries out the other steps.
func cmdRespond(ts *testscript.TestScript, w *world, a []string) {
	w.upstreams[a[0]].respondWith(steps(ts, a[1:]))
}

// loads NAME STEP...: sets what an upstream does after each load report that it serves, while
// it reads the next request.
func cmdLoads(ts *testscript.TestScript, w *world, a []string) {
	w.upstreams[a[0]].respondToLoadsWith(steps(ts, a[1:]))
}

func steps(ts *testscript.TestScript, texts []string) []step {
	var all []step
	for _, text := range texts {
		switch d, err := time.ParseDuration(text); {
		case err == nil:
			all = append(all, step{wait: d})
		case text == "hang":
			all = append(all, step{hang: true})
		case text == "close":
			all = append(all, step{closes: true})
		case text == "reset":
			all = append(all, step{resets: true})
		case text == "next":
			all = append(all, step{next: true})
		default:
			all = append(all, step{data: strings.ReplaceAll(ts.ReadFile(text), "\n", "\r\n")})
		}
	}
	return all
}

// request ID [model] [once] [stream] [deterministic] [given] [METHOD]: sends a request and waits
// for the end of its response. With once it may run at most once; with given, its caller has
// chosen the id.
func cmdRequest(ts *testscript.TestScript, w *world, a []string) {
	c := &exchange.Call{
		ID: a[0], Pool: pool.Pool{Name: "service", Kind: pool.Service}, Method: "POST", URI: "/x", Body: []byte("text"),
		StartedAt: time.Now(), Deadline: time.Now().Add(time.Second),
	}
	for _, option := range a[1:] {
		switch option {
		case "model":
			c.Pool = pool.Pool{Name: "model", Kind: pool.Model}
		case "once":
			c.AtMostOnce = true
		case "stream":
			c.Stream = true
		case "given":
			c.IDGiven = true
		case "deterministic":
			c.Deterministic = true
		default:
			c.Method, c.Body = option, nil
		}
	}
	w.status, w.outcome, w.body = 0, "", ""
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.send(c)
	}()
	select {
	case <-ended:
	case <-time.After(longest):
		ts.Fatalf("request %s has no end after %v, want one at its deadline", c.ID, longest)
	}
}

// longest is when a request must have ended, with its time to spare.
const longest = 3 * time.Second

// send forwards a call and records what its caller gets.
func (w *world) send(c *exchange.Call) {
	resp, refusal := w.forwarder.Forward(context.Background(), c)
	if refusal != nil {
		w.status, w.outcome = refusal.Status, refusal.Certainty.String()
		return
	}
	w.status, w.outcome = resp.Status, "answered"
	var body bytes.Buffer
	var err error
	switch {
	case resp.IsEventStream():
		out := bufio.NewWriter(&body)
		err = resp.WriteEvents(context.Background(), out)
	case resp.Complete:
		body.Write(resp.Body)
	default:
		reader := resp.Reader()
		_, err = io.Copy(&body, reader)
		_ = reader.Close()
	}
	if err != nil {
		w.outcome = "cut"
	}
	w.body = body.String()
}

// result STATUS OUTCOME: checks what the caller of the last request got. OUTCOME is
// answered, cut, or that of a refusal.
func cmdResult(ts *testscript.TestScript, w *world, a []string) {
	expect(ts, "result", strconv.Itoa(w.status)+" "+w.outcome, a[0]+" "+a[1])
}

// body [TEXT]: checks the body of the last response.
func cmdBody(ts *testscript.TestScript, w *world, a []string) {
	expect(ts, "body", strings.TrimSpace(w.body), strings.Join(a, " "))
}

// requests NAME COUNT: checks how many requests have arrived at an upstream.
func cmdRequests(ts *testscript.TestScript, w *world, a []string) {
	expect(ts, "requests at "+a[0], strconv.Itoa(w.arrivals.count(a[0])), a[1])
}

// leftWithin is the time in which an upstream must see that it was left, from the arrival
// of the request at the next one (TWICE).
const leftWithin = 400 * time.Millisecond

// left NAME: checks that the router closed the connection of the request on which the
// upstream hung, no later than leftWithin after the next request arrived anywhere.
func cmdLeft(ts *testscript.TestScript, w *world, a []string) {
	u := w.upstreams[a[0]]
	select {
	case end := <-u.left:
		if next, ok := w.arrivals.after(end.arrivedAt); ok && end.at.Sub(next) > leftWithin {
			ts.Fatalf("%s was left %v after the next request arrived, want at most %v", a[0], end.at.Sub(next), leftWithin)
		}
	case <-time.After(2 * leftWithin):
		ts.Fatalf("%s still works on a request, want that its connection is closed", a[0])
	}
}
