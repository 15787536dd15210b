package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/statement"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/httpclient"
	"camphorpulley.org/router/relay"
)

// TestScripts runs the scripts in testdata. Each sends requests through a gateway
// to fake upstreams, whose responses are bytes from the script.
func TestScripts(t *testing.T) { runScripts(t, "testdata") }

// TestEndless runs the scripts in testdata/endless, apart from the others because they
// load the machine: upstreams that send bytes without end.
func TestEndless(t *testing.T) { runScripts(t, "testdata/endless") }

func runScripts(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			f := newFixture()
			env.Values[fixtureKey{}] = f
			env.Defer(f.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"upstream": with(cmdUpstream), "respond": with(cmdRespond), "request": with(cmdRequest), "status": with(cmdStatus),
			"body": with(cmdBody), "header": with(cmdHeader), "received": with(cmdReceived), "request-count": with(cmdRequestCount),
			"cancel-request": with(cmdCancelRequest), "closed-connections": with(cmdClosedConnections), "stop-listening": with(cmdStopListening),
			"response-incomplete": with(cmdResponseIncomplete), "set-closing": with(cmdSetClosing),
			"set-timeout": with(cmdSetTimeout), "set-parts": with(cmdSetParts), "time-left": with(cmdTimeLeft),
			"respond-endless": with(cmdRespondEndless), "sent-at-most": with(cmdSentAtMost), "took-at-most": with(cmdTookAtMost),
			"each-cut": with(cmdEachCut), "request-while-closing": with(cmdRequestWhileClosing), "helper": with(cmdHelper), "cut-off": with(cmdCutOff), "stop-helper-in": with(cmdStopHelperIn), "relayed": with(cmdRelayed),
			"requests": with(cmdRequests), "received-at-most": with(cmdReceivedAtMost), "heap-at-most": with(cmdHeapAtMost),
		},
	})
}

type fixtureKey struct{}

// fixture is a gateway with a fleet of fake upstreams, and the last response to a
// caller.
type fixture struct {
	fleet     *fleet.Fleet
	gateway   *gateway.Handler
	pool      *httpclient.Pool
	server    *httptest.Server
	upstreams map[string]*upstream
	entries   []roster.Entry
	// helpers are other routers, which reach the upstreams when the gateway doesn't.
	helpers []*helper
	// timeout is the time-out in milliseconds that callers send; empty sends none.
	timeout string
	// parts are the parts of the prompt that callers send, one letter each.
	parts  string
	status int
	header http.Header
	body   []byte
	err    error
	// took is how long the last request took.
	took time.Duration
	// heap is the highest size of the heap in bytes during the verb requests.
	heap atomic.Uint64
}

const (
	routeTimeout          = 3 * time.Second
	routeLatencyObjective = 400 * time.Millisecond
)

func newFixture() *fixture {
	f := &fixture{upstreams: map[string]*upstream{}, pool: &httpclient.Pool{}}
	f.fleet, f.gateway = newGateway("r1", f.pool)
	f.server = httptest.NewServer(f.gateway)
	return f
}

// newGateway returns the gateway of a router, and its tables.
func newGateway(id core.RouterID, pool *httpclient.Pool) (*fleet.Fleet, *gateway.Handler) {
	fl := fleet.New(time.Now(), fleet.Settings{
		ID: id, DataCentre: "a", MaxLoadFactor: 2, Retry: retry.Limits{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
	})
	fl.MarkMembersListed()
	route := func(name string, kind catalog.Kind, resume bool) catalog.Route {
		return catalog.Route{
			Name: name, Host: name, Prefix: "/", Kind: kind, Deterministic: resume, Timeout: routeTimeout, LatencyObjective: routeLatencyObjective,
			EventTimeout: 100 * time.Millisecond, MaxRuns: 2, Public: true, Pools: []catalog.PoolWeight{{Pool: "p", Weight: 1}},
		}
	}
	fl.ApplyCatalog(&catalog.Catalog{
		Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {Name: "p"}},
		Routes: []catalog.Route{
			route("safe", catalog.Idempotent, false), route("at-most-once", catalog.AtMostOnce, false),
			route("stream", catalog.Stream, true), route("unresumable", catalog.Stream, false),
		},
		Limits: catalog.Limits{MaxBodyBytes: 1 << 20},
	})
	handler := &gateway.Handler{
		Fleet: fl, HeaderCodec: headerCodec{}, Log: zap.NewNop(), Metrics: noMetrics{},
		Forwarder: &relay.Forwarder{Fleet: fl, HeaderCodec: headerCodec{}, Log: zap.NewNop(), Conns: pool, Metrics: noMetrics{}},
	}
	return fl, handler
}

func (f *fixture) close() {
	f.server.CloseClientConnections()
	f.server.Close()
	for _, u := range f.upstreams {
		_ = u.listener.Close()
	}
}

// noMetrics discards all counts.
type noMetrics struct{}

func (noMetrics) Ended(core.Pool, string)            {}
func (noMetrics) Request(core.Pool, string)          {}
func (noMetrics) FirstByte(core.Pool, time.Duration) {}

// headerCodec is the header codec of the tests. Callers send X-Id, X-Wait (the
// time-out in milliseconds), X-Parts (the parts of the prompt, one letter each),
// Last-Event-Id and Resumes. Upstreams are sent X-Id, X-Left (the
// time left in milliseconds) and Last-Event-Id, and respond with X-Id, X-Signed and
// X-Not-Run, X-Leaving, X-Limit, a number of requests per second, and Retry-After, a number
// of seconds. Refusals carry Retry-After.
type headerCodec struct{}

func (headerCodec) ParseRequest(r *http.Request) gateway.RequestHeaders {
	var headers gateway.RequestHeaders
	headers.ID = r.Header.Get("X-Id")
	for _, letter := range r.Header.Get("X-Parts") {
		headers.Parts = append(headers.Parts, prefix.Part{ID: core.Digest(letter), Tokens: 1})
	}
	if ms, err := strconv.Atoi(r.Header.Get("X-Wait")); err == nil {
		headers.Timeout = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		headers.LastEventID, headers.HasLastEventID = n, true
	}
	headers.Resumes = r.Header.Get("Resumes")
	return headers
}

func (headerCodec) SetRefusalHeader(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
}

func (headerCodec) AttemptHeader(a relay.AttemptInfo) http.Header {
	h := http.Header{"X-Id": {a.Call.ID}, "X-Left": {strconv.FormatInt(a.TimeLeft.Milliseconds(), 10)}}
	if a.HasLastEventID {
		h.Set("Last-Event-Id", strconv.Itoa(a.LastEventID))
	}
	return h
}

func (headerCodec) DetourHeader(a relay.AttemptInfo) http.Header {
	h := a.Call.Header.Clone()
	h.Set("X-Wait", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	h.Del("Last-Event-Id")
	if a.HasLastEventID {
		h.Set("Last-Event-Id", strconv.Itoa(a.LastEventID))
		h.Set("Resumes", a.Call.ID)
	}
	return h
}

func (headerCodec) ParseResponse(status int, h http.Header) relay.ResponseHeaders {
	var says statement.Answer
	if perSecond, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		says.Limit = statement.NewLimit(perSecond)
	}
	says.Leaving = h.Get("X-Leaving") != ""
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		says.RetryAfter = time.Duration(seconds) * time.Second
	}
	return relay.ResponseHeaders{
		Says: says, RequestID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Encoded: h.Get("Content-Encoding") != "",
	}
}

// upstream is a fake upstream that sends the responses of a script.
type upstream struct {
	listener  net.Listener
	mu        sync.Mutex
	responses []response
	requests  []string
	// timeLeft is the X-Left field of the last request in milliseconds.
	timeLeft          int
	closedConnections int
	// endlessBytes is the number of bytes sent by endless responses.
	endlessBytes int
}

// response is the bytes of one response and what the upstream does after it: keep
// the connection, close it, reset it, or hang, that is, send no more until the
// router closes it. With early, it responds before it reads the body of the
// request, and then keeps the connection.
type response struct {
	data []byte
	// after is keep, close, reset, hang, early or endless.
	after string
	// An endless response repeats piece, with a pause before each, until the router
	// closes the connection.
	piece []byte
	pause time.Duration
}

func (u *upstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConnection(c)
	}
}

// serveConnection reads requests from a connection and sends the next response to
// each. It closes the connection if the script has no response left.
func (u *upstream) serveConnection(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		u.closedConnections++
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.mu.Lock()
		var next response
		if len(u.responses) > 0 {
			next, u.responses = u.responses[0], u.responses[1:]
		}
		u.mu.Unlock()
		early := strings.HasPrefix(next.after, "early")
		body := []byte("(unread)")
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		u.record(r, body)
		if _, err := c.Write(bytes.ReplaceAll(next.data, []byte("$ID"), []byte(r.Header.Get("X-Id")))); err != nil {
			return
		}
		switch next.after {
		case "keep", "early":
			if early {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
			}
		case "reset":
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			_, _ = reader.ReadByte()
			return
		case "endless":
			u.repeat(c, next)
			return
		default:
			return
		}
	}
}

// repeat sends the pieces of an endless response until the router closes the connection.
func (u *upstream) repeat(c net.Conn, r response) {
	for {
		time.Sleep(r.pause)
		n, err := c.Write(r.piece)
		u.mu.Lock()
		u.endlessBytes += n
		u.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// record keeps a request for the verbs of the script.
func (u *upstream) record(r *http.Request, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timeLeft, _ = strconv.Atoi(r.Header.Get("X-Left"))
	u.requests = append(u.requests, fmt.Sprintf("%s %s %s after=%s", r.Method, r.RequestURI, body, r.Header.Get("Last-Event-Id")))
}

// with makes a script verb of a function that uses the fixture.
func with(run func(*testscript.TestScript, *fixture, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f, ok := ts.Value(fixtureKey{}).(*fixture)
		if !ok {
			ts.Fatalf("fixture: got none in the environment of the script")
		}
		run(ts, f, args)
	}
}

// upstream NAME [DC [RELEASE]]: starts an upstream in a data centre, "a" by default, whose
// entry states a software release, by default none.
func cmdUpstream(ts *testscript.TestScript, f *fixture, a []string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	ts.Check(err)
	u := &upstream{listener: ln}
	f.upstreams[a[0]] = u
	go u.serve()
	dc := core.DataCentre("a")
	if len(a) > 1 {
		dc = core.DataCentre(a[1])
	}
	release := ""
	if len(a) > 2 {
		release = a[2]
	}
	f.entries = append(f.entries, roster.Entry{
		ID: core.UpstreamID(a[0]), Pool: "p", DataCentre: dc, Address: ln.Addr().String(), Release: release,
	})
	f.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, f.entries)
	for _, h := range f.helpers {
		h.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, f.entries)
	}
}

// stop-listening UPSTREAM: makes the upstream refuse new connections.
func cmdStopListening(_ *testscript.TestScript, f *fixture, a []string) {
	_ = f.upstreams[a[0]].listener.Close()
}

// respond UPSTREAM FILE keep|close|reset|hang|early: adds to the upstream's next
// responses. Line ends up to the first empty line of the file become CR LF. An empty
// file sends nothing.
func cmdRespond(ts *testscript.TestScript, f *fixture, a []string) {
	data := rawResponse(ts.ReadFile(a[1]))
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responses = append(u.responses, response{data: []byte(data), after: a[2]})
}

// rawResponse returns the bytes of a response from the text of a file.
func rawResponse(text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	if head == "" {
		return ""
	}
	return strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
}

// endlessPieceBytes is the least size of the pieces of an endless response that is sent
// without a pause.
const endlessPieceBytes = 64 << 10

// respond-endless UPSTREAM FILE PIECE [PAUSE [SIZE]]: adds a response that begins with a
// file and repeats a piece until the router closes the connection. There is a pause
// before each SIZE bytes, by default before each piece. All line ends become CR LF, and
// \r\n in the piece stands for CR LF.
func cmdRespondEndless(ts *testscript.TestScript, f *fixture, a []string) {
	r := response{after: "endless", piece: []byte(strings.ReplaceAll(a[2], `\r\n`, "\r\n"))}
	r.data = []byte(strings.ReplaceAll(strings.TrimSuffix(ts.ReadFile(a[1]), "$\n"), "\n", "\r\n"))
	if len(a) > 3 {
		var err error
		r.pause, err = time.ParseDuration(a[3])
		ts.Check(err)
	}
	size := endlessPieceBytes
	if len(a) > 4 {
		var err error
		size, err = strconv.Atoi(a[4])
		ts.Check(err)
	}
	if len(a) != 4 {
		r.piece = bytes.Repeat(r.piece, size/len(r.piece)+1)
	}
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responses = append(u.responses, r)
}

// sent-at-most UPSTREAM MIB: checks how much the upstream sent in endless responses,
// the buffers of the sockets included.
func cmdSentAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.Atoi(a[1])
	ts.Check(err)
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.endlessBytes > most<<20 {
		ts.Fatalf("endless bytes sent by %s: got %d, want at most %d", a[0], u.endlessBytes, most<<20)
	}
}

// took-at-most DURATION: checks how long the last request took.
func cmdTookAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := time.ParseDuration(a[0])
	ts.Check(err)
	if f.took > most {
		ts.Fatalf("last request: got an answer after %s, want at most %s", f.took, most)
	}
}

// requests COUNT ROUTE METHOD ID: sends requests ID0, ID1 and so on at the same time and
// waits for all responses.
func cmdRequests(ts *testscript.TestScript, f *fixture, a []string) {
	count, err := strconv.Atoi(a[0])
	ts.Check(err)
	done := make(chan struct{})
	go f.watchHeap(done)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			r, err := http.NewRequest(a[2], f.server.URL+"/x", nil)
			if err != nil {
				return
			}
			r.Host = a[1]
			r.Header.Set("X-Id", a[3]+strconv.Itoa(i))
			if resp, err := f.server.Client().Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	close(done)
}

// watchHeap records the highest size of the heap until done is closed.
func (f *fixture) watchHeap(done chan struct{}) {
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		f.heap.Store(max(f.heap.Load(), stats.HeapAlloc))
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// heap-at-most MIB: checks the highest size of the heap during the verb requests.
func cmdHeapAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	if got := f.heap.Load(); got == 0 || got > most<<20 {
		ts.Fatalf("heap: got %d bytes, want at most %d and a measurement", got, most<<20)
	}
}

// request ROUTE METHOD ID [BODY|size=BYTES] [after=EVENT] [resumes=ID]: sends a caller's
// request and waits for the response.
func cmdRequest(ts *testscript.TestScript, f *fixture, a []string) {
	body, after, resumes := "", "", ""
	for _, arg := range a[3:] {
		key, value, ok := strings.Cut(arg, "=")
		switch {
		case ok && key == "size":
			n, err := strconv.Atoi(value)
			ts.Check(err)
			body = strings.Repeat("x", n)
		case ok && key == "after":
			after = value
		case ok && key == "resumes":
			resumes = value
		default:
			body = strings.ReplaceAll(arg, `\r\n`, "\r\n")
		}
	}
	f.send(ts, context.Background(), a, body, map[string]string{"Last-Event-Id": after, "Resumes": resumes})
}

// send sends a request and keeps its response for the verbs of the script.
func (f *fixture) send(ts *testscript.TestScript, ctx context.Context, a []string, body string, fields map[string]string) {
	r, err := http.NewRequestWithContext(ctx, a[1], f.server.URL+"/x?q=1", strings.NewReader(body))
	ts.Check(err)
	r.Host = a[0]
	r.Header.Set("X-Id", a[2])
	if f.timeout != "" {
		r.Header.Set("X-Wait", f.timeout)
	}
	r.Header.Set("X-Parts", f.parts)
	for name, value := range fields {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	f.status, f.header, f.body = 0, nil, nil
	sentAt := time.Now()
	defer func() { f.took = time.Since(sentAt) }()
	resp, err := f.server.Client().Do(r)
	if f.err = err; err != nil {
		return
	}
	f.status, f.header = resp.StatusCode, resp.Header
	f.body, f.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
}

// set-parts PARTS: sets the parts of the prompt that callers send from now on.
func cmdSetParts(_ *testscript.TestScript, f *fixture, a []string) { f.parts = a[0] }

// set-timeout MS: sets the time-out that callers send from now on.
func cmdSetTimeout(_ *testscript.TestScript, f *fixture, a []string) { f.timeout = a[0] }

// time-left UPSTREAM MOST: checks that the last request to the upstream stated a
// time left of more than zero and at most MOST milliseconds.
func cmdTimeLeft(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.Atoi(a[1])
	ts.Check(err)
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timeLeft <= 0 || u.timeLeft > most {
		ts.Fatalf("time left at %s: got %d ms, want 1 to %d ms", a[0], u.timeLeft, most)
	}
}

// cancel-request ROUTE METHOD ID AFTER: sends a caller's request and cancels it
// after a duration.
func cmdCancelRequest(ts *testscript.TestScript, f *fixture, a []string) {
	d, err := time.ParseDuration(a[3])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.send(ts, ctx, a, "", nil)
}

// status WANT...: checks that the status of the last response, which must be complete, is
// one of these.
func cmdStatus(ts *testscript.TestScript, f *fixture, a []string) {
	if f.err != nil {
		ts.Fatalf("response: got error %v, want status %s", f.err, a)
	}
	if got := strconv.Itoa(f.status); !slices.Contains(a, got) {
		ts.Fatalf("status: got %s, want %s; body %.200s", got, a, f.body)
	}
}

// set-closing: marks the gateway as about to close its connections.
func cmdSetClosing(_ *testscript.TestScript, f *fixture, _ []string) { f.gateway.Closing.Store(true) }

// response-incomplete: checks that the last response broke off.
func cmdResponseIncomplete(ts *testscript.TestScript, f *fixture, _ []string) {
	if f.err == nil {
		ts.Fatalf("got a complete response with status %d, want one that broke off", f.status)
	}
}

// body FILE|TEXT: checks the body of the last response. The names of files begin
// with "want".
func cmdBody(ts *testscript.TestScript, f *fixture, a []string) {
	want := a[0]
	if strings.HasPrefix(want, "want") {
		want = ts.ReadFile(want)
	}
	if got := string(f.body); got != want {
		ts.Fatalf("body: got %q, want %q", got, want)
	}
}

// header NAME [WANT]: checks a header field of the last response; without WANT,
// the field must be absent or empty.
func cmdHeader(ts *testscript.TestScript, f *fixture, a []string) {
	want := strings.Join(a[1:], " ")
	if got := f.header.Get(a[0]); got != want {
		ts.Fatalf("header %s: got %q, want %q", a[0], got, want)
	}
}

// request-count COUNT: checks how many requests the upstreams received in total.
func cmdRequestCount(ts *testscript.TestScript, f *fixture, a []string) {
	got := 0
	for _, u := range f.upstreams {
		u.mu.Lock()
		got += len(u.requests)
		u.mu.Unlock()
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("requests received by all upstreams: got %d, want %s", got, a[0])
	}
}

// received UPSTREAM 'METHOD URI BODY after=EVENT': checks that the upstream received
// this request. EVENT is empty without a Last-Event-Id; \r\n in the text stands for
// CR LF.
func cmdReceived(ts *testscript.TestScript, f *fixture, a []string) {
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	want := strings.ReplaceAll(a[1], `\r\n`, "\r\n")
	for _, r := range u.requests {
		if r == want {
			return
		}
	}
	ts.Fatalf("requests received by %s: got %q, want %q among them", a[0], u.requests, want)
}

// closeWait is how long closed-connections waits. It is shorter than routeTimeout,
// after which every connection is closed.
const closeWait = 2 * time.Second

// closed-connections UPSTREAM COUNT: waits up to 2 s until at least COUNT
// connections of the upstream have closed. Meanwhile idle connections are checked as
// in a running router.
func cmdClosedConnections(ts *testscript.TestScript, f *fixture, a []string) {
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	u, got := f.upstreams[a[0]], 0
	for deadline := time.Now().Add(closeWait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		u.mu.Lock()
		got = u.closedConnections
		u.mu.Unlock()
		if got >= want {
			return
		}
		f.pool.CloseUnusable(time.Now())
	}
	ts.Fatalf("closed connections of %s after %s: got %d, want at least %d", a[0], closeWait, got, want)
}

// received-at-most UPSTREAM MAX: checks how many requests the upstream received.
func cmdReceivedAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	if most, err := strconv.Atoi(a[1]); err != nil || len(u.requests) > most {
		ts.Fatalf("requests received by %s: got %d, want at most %s", a[0], len(u.requests), a[1])
	}
}
