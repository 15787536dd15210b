package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/runner"
)

// route is a route of the configuration, to which callers send requests.
type route struct {
	kind       ledger.Kind
	pathPrefix string
	routeType  string
	// pools holds the pool that serves the route, or two that it alternates
	// between.
	pools       []string
	resumable   bool
	maxAttempts int
	// streams is true if requests carry a prompt and responses are streams of
	// events.
	streams bool
}

var routes = []route{
	{kind: ledger.ResumableStream, pathPrefix: "/chat/", routeType: "streaming", pools: []string{"engines"}, resumable: true, maxAttempts: 2, streams: true},
	{kind: ledger.SingleStream, pathPrefix: "/single/", routeType: "streaming", pools: []string{"engines"}, maxAttempts: 1, streams: true},
	{kind: ledger.AtMostOnce, pathPrefix: "/set/", routeType: "unsafe", pools: []string{"apps-a"}, maxAttempts: 1},
	{kind: ledger.Safe, pathPrefix: "/get/", routeType: "safe", pools: []string{"apps-a", "apps-b"}, maxAttempts: 2},
}

const (
	soakHost = "soak.example"
	// requestTimeout is how long callers wait for a complete response.
	requestTimeout = 4 * time.Second
	// sharedPrompts is the number of prompt prefixes that callers share.
	sharedPrompts = 40
	// maxRetryAfter is the longest time that a refused caller waits, whatever the
	// router asks for.
	maxRetryAfter = 500 * time.Millisecond
	// maxPause is the longest random pause of a caller between two requests.
	maxPause = 60 * time.Millisecond
)

// apiKeys holds the API key of each tenant.
var apiKeys = map[string]string{"trust": "key-trust", "press": "key-press"}

// caller sends requests one after another, over one connection that it keeps until
// the connection breaks or the router closes it.
type caller struct {
	soak   *soak
	name   string
	random *rand.Rand
	// sent is the number of requests sent.
	sent int
	// broken is the last request if it was for a stream that may be resumed, and broke off.
	broken *brokenStream
	// router is the router at the other end of the connection, nil if there is
	// none.
	router    *router
	transport *http.Transport
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.router == nil {
			c.router, c.transport = c.soak.pickRouter(c.random), &http.Transport{MaxIdleConnsPerHost: 1}
		}
		wait := c.send(ctx)
		sleep(ctx, wait+time.Duration(c.random.Int64N(int64(maxPause))))
	}
}

// disconnect closes the connection. The next request opens a new one, which may
// lead to another router.
func (c *caller) disconnect() {
	c.transport.CloseIdleConnections()
	c.router = nil
}

// send sends one random request, checks the response, and returns how long the
// caller must wait before the next: as long as the router asks for, but at most
// maxRetryAfter.
func (c *caller) send(ctx context.Context) time.Duration {
	c.sent++
	r := routes[c.random.IntN(len(routes))]
	tenant := "trust"
	if c.random.IntN(2) == 0 {
		tenant = "press"
	}
	q := ledger.Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: r.kind, Route: r.pathPrefix, Router: c.router.id, Tenant: tenant,
		Body: fmt.Sprintf("body %d", c.random.IntN(1000)), SentAt: time.Now(),
	}
	method := http.MethodPost
	if r.kind == ledger.Safe {
		method, q.Body = http.MethodGet, ""
	}
	q.Line = method + " " + r.pathPrefix + strconv.Itoa(c.random.IntN(100))
	var had progress
	if b := c.broken; b != nil {
		// The stream that broke off is resumed in place of this request.
		r, method, had = b.route, http.MethodPost, b.had
		q.Kind, q.Route, q.Tenant, q.Body, q.Line = b.request.Kind, b.request.Route, b.request.Tenant, b.request.Body, b.request.Line
		tenant, c.broken = q.Tenant, nil
		c.soak.ledger.CountOutcome("resumed")
	}
	c.soak.ledger.RecordRequest(q)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, path, _ := strings.Cut(q.Line, " ")
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.router.listenAddress+path, strings.NewReader(q.Body))
	if err != nil {
		panic(err)
	}
	req.Host = soakHost
	req.Header.Set("Camphorpulley-Attempt-Id", q.ID)
	req.Header.Set("Camphorpulley-Key", apiKeys[tenant])
	req.Header.Set("Camphorpulley-Tenant", "forged")
	req.Header.Set("Camphorpulley-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if r.streams {
		req.Header.Set("Camphorpulley-Model", "m")
		req.Header.Set("Camphorpulley-Token-Count", "600,80")
		req.Header.Set("Camphorpulley-Prompt-Prefix", fmt.Sprintf("%x:500,%x:100", c.random.IntN(sharedPrompts), 1<<20+c.sent))
	}
	had.setHeaders(req.Header)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.handleNoResponse(q, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return c.handleResponse(q, resp, r, had)
}

// brokenStream is a stream that broke off, and the request for it.
type brokenStream struct {
	request ledger.Request
	route   route
	had     progress
}

// handleNoResponse records a request without a complete response and closes the
// connection. A request that has run must get a response if no unplanned fault was
// active since RecoveryTime before it was sent.
func (c *caller) handleNoResponse(q ledger.Request, err error) {
	now := time.Now()
	c.disconnect()
	c.soak.ledger.CountOutcome("unanswered")
	if c.soak.ctx.Err() == nil && c.soak.ledger.Runs(q.ID) > 0 && c.soak.ledger.NoUnplannedFault(q.SentAt.Add(-ledger.RecoveryTime), now) {
		c.soak.ledger.RecordViolation(now, "lost", "request %s ran, but router %s sent no complete response: %v", q.ID, q.Router, err)
	}
}

// notRunStatuses holds the statuses which promise that a request has not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// handleResponse checks that a response belongs to its request, and its body by the
// kind of the route. It returns how long the caller must wait, as send does.
func (c *caller) handleResponse(q ledger.Request, resp *http.Response, r route, had progress) time.Duration {
	c.soak.ledger.CountOutcome(strconv.Itoa(resp.StatusCode))
	if resp.Close {
		defer c.disconnect()
	}
	signature := resp.Header.Get("Camphorpulley-Response-Signature")
	switch {
	case slices.Contains(notRunStatuses, resp.StatusCode):
		c.soak.ledger.RecordRefusal(time.Now(), q.ID)
		_, _ = io.Copy(io.Discard, resp.Body)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			return 0
		}
		return min(time.Duration(after*float64(time.Second)), maxRetryAfter)
	case resp.StatusCode != http.StatusOK:
		if signature != "" && signature != "failed."+q.ID {
			c.soak.ledger.RecordViolation(time.Now(), "mismatched_response", "request %s: got status %d with signature %q, want %q or none",
				q.ID, resp.StatusCode, signature, "failed."+q.ID)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	case signature != "sig."+q.ID:
		c.soak.ledger.RecordViolation(time.Now(), "mismatched_response", "request %s: got signature %q, want %q", q.ID, signature, "sig."+q.ID)
	case r.streams:
		if had.events == 0 {
			had.began = q.ID
		}
		if had = c.checkStream(q, resp.Body, had); r.resumable && had.events > 0 && had.events < runner.Events {
			c.broken = &brokenStream{request: q, route: r, had: had}
		}
	default:
		c.checkBody(q, resp.Body)
	}
	return 0
}

// checkBody checks the body of an application's response.
func (c *caller) checkBody(q ledger.Request, body io.Reader) {
	got, err := io.ReadAll(body)
	if err != nil {
		c.handleNoResponse(q, err)
		return
	}
	if want := runner.PlainBody(q.ID); string(got) != want {
		c.soak.ledger.RecordViolation(time.Now(), "mismatched_response", "request %s: got body %q, want %q", q.ID, got, want)
	}
}

// checkStream checks that the events of a stream come complete and in order, all of one
// release, and that a stream which ends too early ends with an error. It counts such a stream,
// and one that doesn't end after its last event, as broken. It returns what the caller has of
// the stream.
func (c *caller) checkStream(q ledger.Request, body io.Reader, had progress) progress {
	reader := bufio.NewReader(body)
	for n := had.events + 1; n <= runner.Events; n++ {
		got, err := readEvent(reader)
		if err != nil {
			if errors.Is(err, io.EOF) {
				c.soak.ledger.RecordViolation(time.Now(), "stream_events", "request %s: stream ended without an error before event %d of %d", q.ID, n, runner.Events)
			}
			c.soak.ledger.CountOutcome("broken_stream")
			c.disconnect()
			return had
		}
		release := strings.TrimSuffix(got[strings.LastIndex(got, " ")+1:], "\n\n")
		if want := runner.Event(q.ID, n, release); got != want {
			c.soak.ledger.RecordViolation(time.Now(), "stream_events", "request %s: event %d: got %q, want %q", q.ID, n, got, want)
			return had
		}
		if had.release != "" && had.release != release {
			c.soak.ledger.RecordViolation(time.Now(), "stream_release", "request %s, which resumes %q: event %d: got release %s, want %s", q.ID, had.began, n, release, had.release)
		}
		had.events, had.release = n, release
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		c.soak.ledger.CountOutcome("broken_stream")
		c.disconnect()
	}
	return had
}

// readEvent reads an event with the empty line at its end.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			if event.Len() > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}

// progress is what a caller has received of a stream: the number of events, the release of
// the runners that wrote them, and the request that brought the first one.
type progress struct {
	events  int
	release string
	began   string
}

// setHeaders sets the header fields that tell which stream a request resumes.
func (p progress) setHeaders(h http.Header) {
	if p.events > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(p.events))
		h.Set("Resumes", p.began)
	}
}
