package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["deadly-request"] = playDeadlyRequest }

const (
	// deadlyPath and deadlyBody make up the request that crashes each runner that begins to run it.
	deadlyPath = "/book/2f"
	deadlyBody = "deadly"
	// requestInterval is the time between two of its repeats, requestTime for how long it comes.
	requestInterval = time.Second
	requestTime     = 40 * time.Second
	// requestCrashes is the number of crashes after which, and contactTime later, no more than
	// maxDeadly repeats may reach a runner.
	requestCrashes = 3
)

// playDeadlyRequest plays a request that crashes each runner that begins to run it and comes again
// at any machine, with the same path, caller and body. A crashed runner is back after some seconds
// as a new incarnation at another address. Without trouble the request is sound.
func playDeadlyRequest(s *scene) {
	s.configure(streamRoute, unsafeRoute, safeRoute)
	// KEEP_ADDRESS=1 shows what holds if the incarnations come back at the same address.
	l := &deadlyLog{scene: s, known: requestCrashes, moves: os.Getenv("KEEP_ADDRESS") != "1"}
	for i, zone := range []string{"a", "b", "c"} {
		s.engine("i-engine-"+zone, zone, "v1").start(s.net + "20:0")
		r := s.application(fmt.Sprintf("i-app-%d", i), zone)
		r.deadly = l
		r.start(s.net + "21:0")
	}
	s.startMachines("a", "b", "c")
	end := time.Now().Add(requestTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	sound, served := 0, 0
	all.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			m := s.machines[i%len(s.machines)]
			r := request{id: newID(), method: "POST", path: deadlyPath, body: deadlyBody, deadline: 1500 * time.Millisecond}
			a := send(newClient(), m.front, r, 2*time.Second)
			s.record.printf("deadly %s at %s: %s", r.id, m.name, a)
			time.Sleep(requestInterval)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		m := s.machines[i%len(s.machines)]
		all.Go(func() {
			r := request{id: newID(), method: "GET", path: "/look/" + newID(), deadline: 1500 * time.Millisecond}
			a := send(newClient(), m.front, r, 2*time.Second)
			s.record.printf("look %s at %s: %s", r.id, m.name, a)
			mu.Lock()
			defer mu.Unlock()
			if sound++; a.status == 200 {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	l.report("the request", sound, served)
}
