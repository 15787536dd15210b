package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// mixVersions ends a release: most runners of a service serve with the next version of their
// software, and the others are restarted with it one after the other, each under its id. No
// client's stream may hold events of both.
func mixVersions(e *env, trouble bool) (bool, error) {
	var older []*runner
	for i := range engines {
		c := runnerConfig{
			id: fmt.Sprintf("i-camphor-%d", i+1), zone: e.zones[i%len(e.zones)], service: "camphor", version: "v2",
			slots: 64, events: 48, eventTime: 40 * time.Millisecond,
		}
		if i < restarts {
			c.version = "v1"
		}
		r, err := e.addRunner(c)
		if err != nil {
			return false, err
		}
		if i < restarts {
			older = append(older, r)
		}
	}
	if _, err := e.addPool(runnerConfig{service: "orders", version: "v1", slots: 6, workTime: 30 * time.Millisecond}, 1); err != nil {
		return false, err
	}
	e.writeConfig()
	if err := e.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, total := 0, 0, 0
	ended := make(chan struct{})
	clients.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / streamsPerSecond)):
			}
			clients.Go(func() {
				versions, complete := e.readStream()
				mu.Lock()
				defer mu.Unlock()
				total++
				if complete {
					whole++
				}
				if len(versions) > 1 {
					mixed++
				}
			})
		}
	})
	time.Sleep(6 * time.Second)
	for _, r := range older {
		next := time.After(restartGap)
		if trouble {
			if err := r.restart(restartTime, "v2"); err != nil {
				return false, err
			}
		}
		<-next
	}
	time.Sleep(3 * time.Second)
	close(ended)
	clients.Wait()
	e.result("%d streams, %d of them whole; %d hold events of both versions, permitted are 2", total, whole, mixed)
	return mixed > 2, nil
}

const (
	// streamsPerSecond is the rate of die-spec in zfe-press.
	streamsPerSecond = 22.9
	// engines is the number of runners of camphor, restarts how many of them are restarted, at most the share of 0.49 that a
	// release takes in zfe-press.
	engines  = 12
	restarts = 5
	// restartTime is how long a runner is down when it is restarted, restartGap the time
	// between the restarts of two, that of the same release.
	restartTime = 200 * time.Millisecond
	restartGap  = 710 * time.Millisecond
	// prompts is the number of prompts that several streams share.
	prompts = 52
)

// newStreamRequest returns a request for a stream, with one of the shared prompts.
func newStreamRequest() request {
	q := request{
		id: newID(), method: http.MethodPost, path: "/die-spec/2f", deadline: 12 * time.Second,
		prompt: fmt.Sprintf("5c1e07a2:2000,%08x:8512,%08x:1300", 0x91bd0000+rand.IntN(prompts), rand.Uint32()),
	}
	q.body = q.id + strings.Repeat("x", 12000-len(q.id))
	return q
}

// readStream reads a stream as a client does, which takes it up once after it was broken. It
// returns the versions of its events.
func (e *env) readStream() (versions map[string]bool, complete bool) {
	versions = map[string]bool{}
	q := newStreamRequest()
	first := ""
	for try := range 2 {
		c, err := e.dial()
		if err != nil {
			e.log.event("attempt %s: no connection: %v", q.id, err)
			return versions, false
		}
		a := c.do(q)
		_ = c.Close()
		for _, data := range a.events {
			_, version, _ := strings.Cut(data, "version ")
			versions[version] = true
		}
		e.log.event("attempt %s at %s: status %d, %d events, complete %t, versions %v, error %v", q.id, c.router.name, a.status, len(a.events), a.complete, versions, a.err)
		if len(a.events) > 0 && first == "" {
			first = q.id
		}
		if a.complete && a.status == 200 {
			return versions, true
		}
		if try == 0 {
			time.Sleep(100 * time.Millisecond)
			q.id, q.lastEvent, q.resumes = newID(), a.lastEvent, first
		}
	}
	return versions, false
}
