package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// pauseLoneVersion lets the only runner of the newest version preempt streams for a time, while
// the routers get SIGHUP. No stream that was sent within config_apply_ms after a SIGHUP of its
// machine may be broken off by the router while its runner is at work.
func pauseLoneVersion(e *env, trouble bool) (bool, error) {
	c := runnerConfig{service: "camphor", version: "v1", slots: 64, events: 48, eventTime: 40 * time.Millisecond}
	if _, err := e.addPool(c, 4); err != nil {
		return false, err
	}
	c.id, c.zone, c.version = "i-camphor-new", "levant-b", "v2"
	if trouble {
		c.pauseAfter, c.pauseTime = 20, preemptedTime
	}
	if _, err := e.addRunner(c); err != nil {
		return false, err
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
	hups := map[*router]time.Time{}
	total, cut, broken := 0, 0, 0
	ended := make(chan struct{})
	clients.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / streamsPerSecond)):
			}
			clients.Go(func() {
				q := newStreamRequest()
				conn, err := e.dial()
				if err != nil {
					e.log.event("attempt %s: no connection: %v", q.id, err)
					return
				}
				defer func() { _ = conn.Close() }()
				sent := time.Now()
				a := conn.do(q)
				over := time.Now()
				runs := e.log.runsOf(q.id)
				e.log.event("attempt %s at %s: status %d, %d events, complete %t, took %v, run at %v, error %v", q.id, conn.router.name, a.status, len(a.events), a.complete, a.took, runs, a.err)
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.complete || len(runs) == 0 {
					return
				}
				cut++
				if at, ok := hups[conn.router]; ok && !sent.Before(at) && sent.Sub(at) <= configApplyTime && over.After(at) {
					broken++
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for i := range hupCount {
		r := e.routers[i%hupMachines]
		mu.Lock()
		hups[r] = time.Now()
		mu.Unlock()
		r.signal(syscall.SIGHUP)
		time.Sleep(hupGap)
	}
	time.Sleep(2 * time.Second)
	close(ended)
	clients.Wait()
	e.result("%d streams, %d of them broken off; %d of these around a SIGHUP of their machine, permitted are 0", total, cut, broken)
	return broken > 0, nil
}

const (
	// preemptedTime is how long the stand-in preempts a stream, less than the gap after which
	// clients abandon it.
	preemptedTime = 1200 * time.Millisecond
	// configApplyTime is config_apply_ms.
	configApplyTime = 2 * time.Second
	// hupCount is the number of SIGHUPs, which go to hupMachines of the machines in turn, with
	// hupGap between two.
	hupCount    = 9
	hupMachines = 2
	hupGap      = 2 * time.Second
)
