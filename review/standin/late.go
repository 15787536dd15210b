package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// readBodyLate lets engines answer long requests before they have read them, by streams without a
// length or chunks, and read the bodies on later. No stream may end as complete before its last
// event.
func readBodyLate(e *env, trouble bool) (bool, error) {
	c := runnerConfig{service: "camphor", version: "v1", slots: 64, events: 48, eventTime: 40 * time.Millisecond, early: true}
	if trouble {
		c.readAfter = readDelay
	}
	if _, err := e.addPool(c, 4); err != nil {
		return false, err
	}
	if _, err := e.addPool(runnerConfig{service: "orders", version: "v1", slots: 6, workTime: 30 * time.Millisecond}, 1); err != nil {
		return false, err
	}
	e.writeConfig()
	if err := e.startRouters(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	total, whole, truncated := 0, 0, 0
	ended := time.Now().Add(15 * time.Second)
	for range 4 {
		clients.Go(func() {
			for time.Now().Before(ended) {
				time.Sleep(longInterval)
				conn, err := e.dial()
				if err != nil {
					e.log.event("no connection: %v", err)
					continue
				}
				q := newStreamRequest()
				q.body = q.id + strings.Repeat("x", longBody-len(q.id))
				a := conn.do(q)
				_ = conn.Close()
				e.log.event("attempt %s at %s: status %d, signed %t, %d events, complete %t, took %v, run at %v, error %v", q.id, conn.router.name, a.status, a.signed, len(a.events), a.complete, a.took, e.log.runsOf(q.id), a.err)
				mu.Lock()
				total++
				switch {
				case !a.complete || a.status != http.StatusOK:
				case len(a.events) == c.events:
					whole++
				default:
					truncated++
					e.log.event("attempt %s: the stream has ended as complete after event %d of %d", q.id, len(a.events), c.events)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	e.result("%d streams, %d whole; %d have ended as complete before their last event, permitted are 0", total, whole, truncated)
	return truncated > 0, nil
}

// readDelay is how long a runner is at work on its answer before it reads the body.
const readDelay = 1700 * time.Millisecond

// streamEarly answers a request with a stream that ends with its connection, and reads the body
// after a time.
func (p *process) streamEarly(w http.ResponseWriter, id string) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if !p.keep(c) {
		return
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		time.Sleep(p.readAfter)
		_, _ = io.CopyN(io.Discard, buffered, longBody)
	}()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCamphorpulley-Attempt-Id: %s\r\nCamphorpulley-Response-Signature: sig.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
	for n := 1; n <= p.events; n++ {
		time.Sleep(p.eventTime)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %d by %s version %s\n\n", n, n, p.id, p.version); err != nil {
			p.log.event("runner %s can't write event %d of %s: %v", p.id, n, id, err)
			return
		}
	}
	p.log.answered(id, p.id)
	<-read
}
