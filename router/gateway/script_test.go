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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/conn"
	"camphorpulley.org/router/gateway"
	"camphorpulley.org/router/relay"
)

// TestScripts runs the scripts in testdata: a gateway between a caller and
// upstreams that send the bytes of a script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := newStage()
			env.Values[stageKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"upstream": with(cmdUpstream), "answer": with(cmdAnswer), "ask": with(cmdAsk), "status": with(cmdStatus),
			"body": with(cmdBody), "header": with(cmdHeader), "got": with(cmdGot), "requests": with(cmdRequests),
			"leave": with(cmdLeave), "closed": with(cmdClosed), "down": with(cmdDown), "cut": with(cmdCut), "closing": with(cmdClosing),
			"waits": with(cmdWait), "left": with(cmdLeft),
		},
	})
}

type stageKey struct{}

// stage is the gateway with all that is around it.
type stage struct {
	fleet     *fleet.Fleet
	gateway   *gateway.Gateway
	server    *httptest.Server
	upstreams map[string]*upstream
	entries   []roster.Entry
	// wait is how many milliseconds callers say that they wait; empty says nothing.
	wait   string
	status int
	header http.Header
	body   []byte
	err    error
}

const (
	testTimeout   = 3 * time.Second
	testObjective = 400 * time.Millisecond
)

func newStage() *stage {
	s := &stage{upstreams: map[string]*upstream{}}
	s.fleet = fleet.New(time.Now(), fleet.Settings{
		ID: "r1", DataCentre: "a", Multiple: 2, Retry: retry.Terms{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
	})
	s.fleet.Listed()
	route := func(name string, kind catalog.Kind, resume bool) catalog.Route {
		return catalog.Route{
			Name: name, Host: name, Prefix: "/", Kind: kind, Resume: resume, Timeout: testTimeout, Objective: testObjective,
			Gap: 100 * time.Millisecond, Attempts: 2, Public: true, Shares: []catalog.Share{{Pool: "p", Weight: 1}},
		}
	}
	s.fleet.Configure(&catalog.Catalog{
		Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {Name: "p"}},
		Routes: []catalog.Route{
			route("safe", catalog.Safe, false), route("once", catalog.Once, false),
			route("stream", catalog.Stream, true), route("single", catalog.Stream, false),
		},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
	})
	s.gateway = &gateway.Gateway{
		Fleet: s.fleet, Dialect: dialect{}, Log: zap.NewNop(), Count: counter{},
		Relay: &relay.Server{Fleet: s.fleet, Dialect: dialect{}, Log: zap.NewNop(), Pool: &conn.Pool{}, Count: counter{}},
	}
	s.server = httptest.NewServer(s.gateway)
	return s
}

func (s *stage) close() {
	s.server.CloseClientConnections()
	s.server.Close()
	for _, u := range s.upstreams {
		_ = u.listener.Close()
	}
}

type counter struct{}

func (counter) Ended(core.Pool, string)            {}
func (counter) Request(core.Pool, string)          {}
func (counter) FirstByte(core.Pool, time.Duration) {}

// dialect is the plainest one: X-Id, X-Signed, X-Not-Run and Last-Event-Id.
type dialect struct{}

func (dialect) Incoming(r *http.Request) gateway.Said {
	var s gateway.Said
	s.ID = r.Header.Get("X-Id")
	if ms, err := strconv.Atoi(r.Header.Get("X-Wait")); err == nil {
		s.Wait = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		s.After, s.HasAfter = n, true
	}
	return s
}

func (dialect) Refusal(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

func (dialect) Outgoing(a relay.Attempt) http.Header {
	h := http.Header{"X-Id": {a.Call.ID}, "X-Left": {strconv.FormatInt(a.Left.Milliseconds(), 10)}}
	if a.HasAfter {
		h.Set("Last-Event-Id", strconv.Itoa(a.After))
	}
	return h
}

func (dialect) Reply(status int, h http.Header) relay.Reply {
	return relay.Reply{
		ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Encoded: h.Get("Content-Encoding") != "",
	}
}

// upstream sends what a script says.
type upstream struct {
	listener net.Listener
	mu       sync.Mutex
	answers  []scripted
	requests []string
	// left is how many milliseconds the last request said that are left.
	left  int
	ended int
}

// scripted is one answer and what follows it: keep, close, reset or hang.
type scripted struct {
	data []byte
	then string
}

func (u *upstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.connection(c)
	}
}

func (u *upstream) connection(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		u.ended++
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.mu.Lock()
		var a scripted
		if len(u.answers) > 0 {
			a, u.answers = u.answers[0], u.answers[1:]
		}
		u.mu.Unlock()
		early := strings.HasPrefix(a.then, "early")
		body := []byte("(unread)")
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		u.note(r, body)
		if _, err := c.Write(bytes.ReplaceAll(a.data, []byte("$ID"), []byte(r.Header.Get("X-Id")))); err != nil {
			return
		}
		switch a.then {
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
		default:
			return
		}
	}
}

func (u *upstream) note(r *http.Request, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left, _ = strconv.Atoi(r.Header.Get("X-Left"))
	u.requests = append(u.requests, fmt.Sprintf("%s %s %s after=%s", r.Method, r.RequestURI, body, r.Header.Get("Last-Event-Id")))
}

func with(run func(*testscript.TestScript, *stage, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s, ok := ts.Value(stageKey{}).(*stage)
		if !ok {
			ts.Fatalf("no stage")
		}
		run(ts, s, args)
	}
}

// upstream NAME [DC]: an upstream starts.
func cmdUpstream(ts *testscript.TestScript, s *stage, a []string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	ts.Check(err)
	u := &upstream{listener: ln}
	s.upstreams[a[0]] = u
	go u.serve()
	dc := core.DataCentre("a")
	if len(a) > 1 {
		dc = core.DataCentre(a[1])
	}
	s.entries = append(s.entries, roster.Entry{
		ID: core.UpstreamID(a[0]), Pool: "p", DataCentre: dc, Address: ln.Addr().String(),
	})
	s.fleet.ReadAll(time.Now(), time.Now(), 0, s.entries)
}

// down NAME: connections to the upstream are refused.
func cmdDown(_ *testscript.TestScript, s *stage, a []string) { _ = s.upstreams[a[0]].listener.Close() }

// answer UPSTREAM FILE keep|close|reset|hang|early: its next answer. Lines of
// the file end with CR LF up to the first empty one.
func cmdAnswer(ts *testscript.TestScript, s *stage, a []string) {
	head, body, _ := strings.Cut(ts.ReadFile(a[1]), "\n\n")
	data := strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
	if head == "" {
		data = ""
	}
	u := s.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = append(u.answers, scripted{data: []byte(data), then: a[2]})
}

// ask ROUTE METHOD ID [BODY|size=N] [after=N]: a caller's request.
func cmdAsk(ts *testscript.TestScript, s *stage, a []string) {
	body := ""
	after := ""
	for _, arg := range a[3:] {
		key, value, ok := strings.Cut(arg, "=")
		switch {
		case ok && key == "size":
			n, err := strconv.Atoi(value)
			ts.Check(err)
			body = strings.Repeat("x", n)
		case ok && key == "after":
			after = value
		default:
			body = strings.ReplaceAll(arg, `\r\n`, "\r\n")
		}
	}
	s.send(ts, context.Background(), a, body, after)
}

func (s *stage) send(ts *testscript.TestScript, ctx context.Context, a []string, body, after string) {
	r, err := http.NewRequestWithContext(ctx, a[1], s.server.URL+"/x?q=1", strings.NewReader(body))
	ts.Check(err)
	r.Host = a[0]
	r.Header.Set("X-Id", a[2])
	if s.wait != "" {
		r.Header.Set("X-Wait", s.wait)
	}
	if after != "" {
		r.Header.Set("Last-Event-Id", after)
	}
	s.status, s.header, s.body = 0, nil, nil
	resp, err := s.server.Client().Do(r)
	if s.err = err; err != nil {
		return
	}
	s.status, s.header = resp.StatusCode, resp.Header
	s.body, s.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
}

// waits MS: what callers say of how long they wait.
func cmdWait(_ *testscript.TestScript, s *stage, a []string) { s.wait = a[0] }

// left UPSTREAM MOST: the last request that the upstream got may take at most so
// many milliseconds.
func cmdLeft(ts *testscript.TestScript, s *stage, a []string) {
	most, err := strconv.Atoi(a[1])
	ts.Check(err)
	u := s.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.left <= 0 || u.left > most {
		ts.Fatalf("time left at %s: got %d ms, want some and at most %d", a[0], u.left, most)
	}
}

// leave ROUTE METHOD ID AFTER: a caller asks and leaves after a time.
func cmdLeave(ts *testscript.TestScript, s *stage, a []string) {
	d, err := time.ParseDuration(a[3])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	s.send(ts, ctx, a, "", "")
}

// status WANT: the status of the last answer, which must be whole.
func cmdStatus(ts *testscript.TestScript, s *stage, a []string) {
	if s.err != nil {
		ts.Fatalf("got error %v, want status %s", s.err, a[0])
	}
	if got := strconv.Itoa(s.status); got != a[0] {
		ts.Fatalf("status: got %s, want %s; body %s", got, a[0], s.body)
	}
}

// closing: the router is about to close its connections.
func cmdClosing(_ *testscript.TestScript, s *stage, _ []string) { s.gateway.Closing.Store(true) }

// cut: the last answer broke off.
func cmdCut(ts *testscript.TestScript, s *stage, _ []string) {
	if s.err == nil {
		ts.Fatalf("got a whole answer with status %d, want one that broke off", s.status)
	}
}

// body FILE|TEXT: the body of the last answer.
func cmdBody(ts *testscript.TestScript, s *stage, a []string) {
	want := a[0]
	if strings.HasPrefix(want, "want") {
		want = ts.ReadFile(want)
	}
	if got := string(s.body); got != want {
		ts.Fatalf("body: got %q, want %q", got, want)
	}
}

// header NAME [WANT]: a field of the last answer's header.
func cmdHeader(ts *testscript.TestScript, s *stage, a []string) {
	want := strings.Join(a[1:], " ")
	if got := s.header.Get(a[0]); got != want {
		ts.Fatalf("header %s: got %q, want %q", a[0], got, want)
	}
}

// requests COUNT: how many requests all upstreams got.
func cmdRequests(ts *testscript.TestScript, s *stage, a []string) {
	got := 0
	for _, u := range s.upstreams {
		u.mu.Lock()
		got += len(u.requests)
		u.mu.Unlock()
	}
	if want, err := strconv.Atoi(a[0]); err != nil || got != want {
		ts.Fatalf("requests: got %d, want %s", got, a[0])
	}
}

// got UPSTREAM TEXT: a request that the upstream got.
func cmdGot(ts *testscript.TestScript, s *stage, a []string) {
	u := s.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	want := strings.ReplaceAll(a[1], `\r\n`, "\r\n")
	for _, r := range u.requests {
		if r == want {
			return
		}
	}
	ts.Fatalf("upstream %s: got %q, want %q", a[0], u.requests, want)
}

// closed UPSTREAM COUNT: so many connections of the upstream end.
func cmdClosed(ts *testscript.TestScript, s *stage, a []string) {
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	got := 0
	for range 200 {
		u := s.upstreams[a[0]]
		u.mu.Lock()
		got = u.ended
		u.mu.Unlock()
		if got >= want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("closed connections of %s: got %d, want %d", a[0], got, want)
}
