package main

import (
	"bufio"
	"context"
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

// route is a kind of request that callers send.
type route struct {
	kind    ledger.Kind
	prefix  string
	typ     string
	pools   []string
	resume  bool
	tries   int
	prompts bool
}

var routes = []route{
	{kind: ledger.Resume, prefix: "/chat/", typ: "streaming", pools: []string{"engines"}, resume: true, tries: 2, prompts: true},
	{kind: ledger.Single, prefix: "/single/", typ: "streaming", pools: []string{"engines"}, tries: 1, prompts: true},
	{kind: ledger.Once, prefix: "/set/", typ: "unsafe", pools: []string{"apps-a"}, tries: 1},
	{kind: ledger.Safe, prefix: "/get/", typ: "safe", pools: []string{"apps-a", "apps-b"}, tries: 2},
}

const (
	soakHost = "soak.example"
	// deadline is how long callers wait.
	deadline = 4 * time.Second
	// prompts is the number of prompts that callers share.
	prompts = 40
	// comeBack bounds how long a refused caller waits.
	comeBack = 500 * time.Millisecond
	// think is the longest pause of a caller between two requests.
	think = 60 * time.Millisecond
)

var accounts = map[string]string{"trust": "key-trust", "press": "key-press"}

// caller sends requests one after another, over a connection that it keeps until
// it breaks or the router closes it.
type caller struct {
	soak   *soak
	name   string
	random *rand.Rand
	count  int
	router *router
	client *http.Transport
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.router == nil {
			c.router, c.client = c.soak.balance(c.random), &http.Transport{MaxIdleConnsPerHost: 1}
		}
		wait := c.send(ctx)
		sleep(ctx, wait+time.Duration(c.random.Int64N(int64(think))))
	}
}

// leave lets the next request open a new connection.
func (c *caller) leave() {
	c.client.CloseIdleConnections()
	c.router = nil
}

// send sends one request and returns how long the caller is told to wait.
func (c *caller) send(ctx context.Context) time.Duration {
	c.count++
	r := routes[c.random.IntN(len(routes))]
	tenant := "trust"
	if c.random.IntN(2) == 0 {
		tenant = "press"
	}
	q := ledger.Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Kind: r.kind, Route: r.prefix, Router: c.router.id, Tenant: tenant,
		Body: fmt.Sprintf("body %d", c.random.IntN(1000)), Sent: time.Now(),
	}
	method := http.MethodPost
	if r.kind == ledger.Safe {
		method, q.Body = http.MethodGet, ""
	}
	q.Line = method + " " + r.prefix + strconv.Itoa(c.random.IntN(100))
	c.soak.ledger.Send(q)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	_, path, _ := strings.Cut(q.Line, " ")
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.router.listen+path, strings.NewReader(q.Body))
	if err != nil {
		panic(err)
	}
	req.Host = soakHost
	req.Header.Set("Camphorpulley-Attempt-Id", q.ID)
	req.Header.Set("Camphorpulley-Key", accounts[tenant])
	req.Header.Set("Camphorpulley-Tenant", "forged")
	req.Header.Set("Camphorpulley-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if r.prompts {
		req.Header.Set("Camphorpulley-Model", "m")
		req.Header.Set("Camphorpulley-Token-Count", "600,80")
		req.Header.Set("Camphorpulley-Prompt-Prefix", fmt.Sprintf("%x:500,%x:100", c.random.IntN(prompts), 1<<20+c.count))
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		c.unanswered(q, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return c.answered(q, resp, r)
}

// unanswered takes in a request without an answer. Around planned work alone, one
// that was passed on must have one.
func (c *caller) unanswered(q ledger.Request, err error) {
	now := time.Now()
	c.leave()
	c.soak.ledger.Count("unanswered")
	if c.soak.ctx.Err() == nil && c.soak.ledger.Runs(q.ID) > 0 && c.soak.ledger.Calm(q.Sent.Add(-ledger.Contact), now) {
		c.soak.ledger.Broken(now, "lost", "request %s ran and was not answered by %s: %v", q.ID, q.Router, err)
	}
}

// promises are the statuses that promise that a request has not run.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func (c *caller) answered(q ledger.Request, resp *http.Response, r route) time.Duration {
	c.soak.ledger.Count(strconv.Itoa(resp.StatusCode))
	if resp.Close {
		defer c.leave()
	}
	signature := resp.Header.Get("Camphorpulley-Response-Signature")
	switch {
	case slices.Contains(promises, resp.StatusCode):
		c.soak.ledger.Promise(time.Now(), q.ID)
		_, _ = io.Copy(io.Discard, resp.Body)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			return 0
		}
		return min(time.Duration(after*float64(time.Second)), comeBack)
	case resp.StatusCode != http.StatusOK:
		if signature != "" && signature != "failed."+q.ID {
			c.soak.ledger.Broken(time.Now(), "mixed", "request %s: status %d with signature %q", q.ID, resp.StatusCode, signature)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	case signature != "sig."+q.ID:
		c.soak.ledger.Broken(time.Now(), "mixed", "request %s: signature %q", q.ID, signature)
	case r.prompts:
		c.stream(q, resp.Body)
	default:
		c.plain(q, resp.Body)
	}
	return 0
}

func (c *caller) plain(q ledger.Request, body io.Reader) {
	got, err := io.ReadAll(body)
	if err != nil {
		c.unanswered(q, err)
		return
	}
	if want := runner.Plain(q.ID); string(got) != want {
		c.soak.ledger.Broken(time.Now(), "mixed", "request %s: body %q", q.ID, got)
	}
}

// stream checks the order of events, and that an end that looks whole is one.
func (c *caller) stream(q ledger.Request, body io.Reader) {
	reader := bufio.NewReader(body)
	for n := 1; n <= runner.Events; n++ {
		want := runner.Event(q.ID, n)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(reader, got); err != nil {
			if err == io.EOF {
				c.soak.ledger.Broken(time.Now(), "order", "request %s: the stream ended as if whole before event %d", q.ID, n)
			}
			c.soak.ledger.Count("broken_stream")
			c.leave()
			return
		}
		if string(got) != want {
			c.soak.ledger.Broken(time.Now(), "order", "request %s: event %d is %q", q.ID, n, got)
			return
		}
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		c.soak.ledger.Count("broken_stream")
		c.leave()
	}
}
