package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path string
	deadline         time.Duration
	// prompt is the list of the prompt's parts; empty for a request to an application.
	prompt string
	// lastEvent is the last event that the client has, zero if none; resumes is the attempt that
	// brought the first one.
	lastEvent int
	resumes   string
	body      string
}

// answer is what a client has got of an attempt.
type answer struct {
	status int
	signed bool
	// events holds the data of the events in order, body that of another answer.
	events    []string
	lastEvent int
	body      string
	// complete is true if the answer ended as HTTP says.
	complete bool
	// closes is true if the connection can't be used again.
	closes bool
	err    error
	took   time.Duration
}

// conn is a connection of a client to a router.
type conn struct {
	net.Conn
	reader *bufio.Reader
	router *router
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// dial opens a connection to a machine that is in rotation.
func (e *env) dial() (*conn, error) {
	r := e.pick()
	c, err := net.DialTimeout("tcp4", r.address(), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReader(c), router: r}, nil
}

// pick returns a machine for a new connection: one in rotation, or any if fewer than half are.
func (e *env) pick() *router {
	var ready []*router
	for _, r := range e.routers {
		if r.isReady() {
			ready = append(ready, r)
		}
	}
	if 2*len(ready) < len(e.routers) {
		ready = e.routers
	}
	return ready[rand.IntN(len(ready))]
}

// newID returns an id for an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a request on the connection and reads its answer.
func (c *conn) do(q request) answer {
	started := time.Now()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nCamphorpulley-Attempt-Id: %s\r\nCamphorpulley-Deadline-Ms: %d\r\nCamphorpulley-Key: %s\r\n",
		q.method, q.path, q.id, q.deadline.Milliseconds(), apiKey)
	if q.prompt != "" {
		fmt.Fprintf(&head, "Camphorpulley-Model: m\r\nCamphorpulley-Token-Count: 11812,384\r\nCamphorpulley-Prompt-Prefix: %s\r\n", q.prompt)
	}
	if q.lastEvent > 0 {
		fmt.Fprintf(&head, "Last-Event-Id: %d\r\nResumes: %s\r\n", q.lastEvent, q.resumes)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n" + q.body)
	_ = c.SetDeadline(started.Add(q.deadline + time.Second))
	a := answer{lastEvent: q.lastEvent}
	if _, a.err = io.WriteString(c, head.String()); a.err == nil {
		a.err = c.read(q, &a)
	}
	a.complete = a.err == nil
	a.closes = a.closes || !a.complete
	a.took = time.Since(started)
	return a
}

// read reads the answer to a request.
func (c *conn) read(q request, a *answer) error {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signed, a.closes = resp.StatusCode, resp.Header.Get("Camphorpulley-Response-Signature") != "", resp.Close
	if got := resp.Header.Get("Camphorpulley-Attempt-Id"); got != "" && got != q.id {
		return fmt.Errorf("answer to attempt %s", got)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		a.body = string(body)
		return err
	}
	events := bufio.NewReader(resp.Body)
	id := 0
	for {
		line, err := events.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			a.events, a.lastEvent = append(a.events, value), id
		}
	}
}
