package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashEarlyAnswer lets the runners of an application answer long requests before they have read
// them, without a length, and crashes one of the runners in between. No client may take an answer
// that the crash has broken off for a complete one.
func crashEarlyAnswer(e *env, trouble bool) (bool, error) {
	c := runnerConfig{service: "orders", version: "v1", slots: 6, workTime: 150 * time.Millisecond, early: true}
	runners, err := e.addPool(c, 1)
	if err != nil {
		return false, err
	}
	e.writeConfig()
	if err := e.startRouters(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	total, whole, truncated := 0, 0, 0
	ended := make(chan struct{})
	for range longClients {
		clients.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(longInterval):
				}
				conn, err := e.dial()
				if err != nil {
					e.log.event("no connection: %v", err)
					continue
				}
				q := request{id: newID(), method: http.MethodPost, path: "/order-book/2f", deadline: 1500 * time.Millisecond}
				q.body = q.id + strings.Repeat("x", longBody-len(q.id))
				a := conn.do(q)
				_ = conn.Close()
				e.log.event("attempt %s at %s: status %d, signed %t, body of %d bytes, complete %t, run at %v, error %v", q.id, conn.router.name, a.status, a.signed, len(a.body), a.complete, e.log.runsOf(q.id), a.err)
				mu.Lock()
				total++
				switch {
				case !a.complete || a.status != http.StatusOK:
				case a.body == earlyBody(q.id):
					whole++
				default:
					truncated++
					e.log.event("attempt %s: the client has a success that isn't the whole answer", q.id)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range crashes {
		if trouble {
			if err := runners[0].restart(crashTime, "v1"); err != nil {
				return false, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(ended)
	clients.Wait()
	e.result("%d requests, %d whole answers; %d successes weren't the runner's whole body, permitted are 0", total, whole, truncated)
	return truncated > 0, nil
}

const (
	// longClients is the number of clients that send long requests, each longInterval after
	// the last answer.
	longClients  = 10
	longInterval = 100 * time.Millisecond
	// longBody is the length of a long request, within max_body_bytes.
	longBody = 300_000
	// crashes is how often a runner crashes, crashTime how long it is down.
	crashes   = 3
	crashTime = 2 * time.Second
)

// earlyBody is the body of the answer to a long request.
func earlyBody(id string) string { return strings.Repeat("answer to "+id+"\n", 30) }

// answerEarly answers a request before its body is read, without a length, and reads the body
// once the answer is made. The answer ends with the connection.
func (p *process) answerEarly(w http.ResponseWriter, id string) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if !p.keep(c) {
		return
	}
	body := earlyBody(id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCamphorpulley-Attempt-Id: %s\r\nCamphorpulley-Response-Signature: sig.%s\r\nConnection: close\r\n\r\n%s", id, id, body[:len(body)/2])
	time.Sleep(p.workTime)
	if _, err := io.WriteString(c, body[len(body)/2:]); err != nil {
		p.log.event("runner %s: the answer to %s is broken off: %v", p.id, id, err)
		return
	}
	p.log.answered(id, p.id)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.CopyN(io.Discard, buffered, longBody)
}
