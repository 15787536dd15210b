package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path, prompt, body string
	deadline                       time.Duration
	// lastEvent is the number of the last event that the client has, zero for none, and resumes
	// the attempt that brought the first one.
	lastEvent int
	resumes   string
}

// answer is what the client has seen of an attempt.
type answer struct {
	// status is zero if there was no answer.
	status   int
	signed   bool
	body     string
	events   []clientEvent
	complete bool
	err      error
	took     time.Duration
	// retryAfter is the time that a refusal asks the client to wait.
	retryAfter time.Duration
}

// clientEvent is an event of a stream and the version that wrote it.
type clientEvent struct {
	number  int
	version string
}

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// newClient returns the transport of a client, with connections of its own.
func newClient() *http.Transport {
	d := &net.Dialer{Timeout: time.Second}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
}

// send makes a client attempt at a router's front address. It waits for the answer for patience.
func send(t *http.Transport, front string, r request, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return attempt(ctx, t, front, r, func() {})
}

// sendPatient is send for a stream that the client abandons once no event has come for a time.
func sendPatient(t *http.Transport, front string, r request, gap time.Duration) answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.AfterFunc(gap, cancel)
	defer timer.Stop()
	return attempt(ctx, t, front, r, func() { timer.Reset(gap) })
}

// attempt makes a client attempt, and calls progress with each event.
func attempt(ctx context.Context, t *http.Transport, front string, r request, progress func()) (a answer) {
	started := time.Now()
	defer func() { a.took = time.Since(started) }()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+front+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Header.Set("Camphorpulley-Attempt-Id", r.id)
	q.Header.Set("Camphorpulley-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	q.Header.Set("Camphorpulley-Key", apiKey)
	if r.prompt != "" {
		q.Header.Set("Camphorpulley-Model", "m")
		q.Header.Set("Camphorpulley-Token-Count", "1460,80")
		q.Header.Set("Camphorpulley-Prompt-Prefix", r.prompt)
	}
	if r.lastEvent > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(r.lastEvent))
		q.Header.Set("Resumes", r.resumes)
	}
	resp, err := t.RoundTrip(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a = answer{status: resp.StatusCode, signed: resp.Header.Get("Camphorpulley-Response-Signature") != ""}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body, progress)
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(text), err, err == nil
	return a
}

// readEvents reads a stream to its end.
func (a *answer) readEvents(body io.Reader, progress func()) {
	lines := bufio.NewScanner(body)
	var e clientEvent
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			e.number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.version, _, _ = strings.Cut(line[len("data: "):], " ")
		case line == "" && e.number > 0:
			a.events = append(a.events, e)
			progress()
			e = clientEvent{}
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	case len(a.events) > 0:
		return fmt.Sprintf("status %d, events %d to %d, complete %t, after %d ms", a.status, a.events[0].number, a.events[len(a.events)-1].number, a.complete, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, signed %t, complete %t, after %d ms: %.120q", a.status, a.signed, a.complete, a.took.Milliseconds(), a.body)
}
