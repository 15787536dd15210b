package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly-part"] = playDeadlyPart }

const (
	// deadlyPart is the part that crashes each engine that begins to write an answer on it.
	deadlyPart = "dead0001"
	// turnsBefore is the number of turns of a chat before that part.
	turnsBefore = 70
	// backAfter is how long a crashed engine is down.
	backAfter = 3 * time.Second
	// deadlyInterval and soundInterval are the times between two requests, deadlyTime is for how
	// long they come.
	deadlyInterval = time.Second
	soundInterval  = 200 * time.Millisecond
	deadlyTime     = 40 * time.Second
	// crashesKnown is the number of crashes after which, and contactTime later, no more than
	// maxDeadly requests with the part may reach an engine.
	crashesKnown = 5
	contactTime  = 3 * time.Second
	maxDeadly    = 3
)

// deadlyLog counts the crashes and the arrivals of deadly requests.
type deadlyLog struct {
	scene *scene
	mu    sync.Mutex
	// arrivals are the times at which a deadly request reached a runner, crashes those at which a
	// runner crashed.
	arrivals, crashes []time.Time
	restarts          int
	closing           bool
	// known is the number of crashes after which, and contactTime later, few more may reach a
	// runner. moves is true if crashed runners come back at other addresses.
	known int
	moves bool
	wait  sync.WaitGroup
}

// arrived records a deadly request, which crashes the runner.
func (l *deadlyLog) arrived(r *runner, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	l.scene.record.printf("deadly request %s reaches %s", id, r.id)
	if !l.scene.trouble || l.closing || r.down.Swap(true) {
		return
	}
	l.crashes = append(l.crashes, now)
	l.scene.record.printf("%s crashes", r.id)
	l.restarts++
	id = fmt.Sprintf("%s-%d", strings.SplitN(r.id, "_", 2)[0], l.restarts)
	l.wait.Go(func() {
		r.crash()
		time.Sleep(backAfter)
		next := l.scene.engine(id, r.zone, "v1")
		if !r.engine {
			next = l.scene.application(id, r.zone)
		}
		next.deadly = l
		address := r.address
		if l.moves {
			address = l.scene.net + "22:0"
		}
		next.start(address)
		// The entry of the process before has expired by now, or does soon.
		l.scene.store.put("keyed.servers", r.id, nil)
		l.scene.record.printf("%s is back as %s", r.id, next.id)
	})
}

// playDeadlyPart plays chats with a part that crashes engines, after more turns than the routers
// hold strikes against in one prompt. Without trouble the part is as sound as the others.
func playDeadlyPart(s *scene) {
	s.configure(streamRoute, safeRoute)
	l := &deadlyLog{scene: s, known: crashesKnown}
	for i, zone := range []string{"a", "b", "c"} {
		for j := range 4 {
			r := s.engine(fmt.Sprintf("i-engine-%s%d", zone, j), zone, "v1")
			r.deadly = l
			r.start(s.net + "20:0")
		}
		s.application(fmt.Sprintf("i-app-%d", i), zone).start(s.net + "21:0")
	}
	s.startMachines("a", "b", "c")
	end := time.Now().Add(deadlyTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	sound, served := 0, 0
	each := func(interval time.Duration, prompt func() string, done func(answer)) {
		for i := 0; time.Now().Before(end); i++ {
			m := s.machines[i%len(s.machines)]
			all.Go(func() {
				r := request{id: newID(), method: "POST", path: "/die/2f", prompt: prompt(), body: newID(), deadline: 12 * time.Second}
				a := send(newClient(), m.front, r, 12500*time.Millisecond)
				s.record.printf("chat %s at %s: %s", r.id, m.name, a)
				done(a)
			})
			time.Sleep(interval)
		}
	}
	all.Go(func() {
		each(deadlyInterval, func() string { return turnsPrompt(deadlyPart + ":700,") }, func(answer) {})
	})
	each(soundInterval, func() string { return turnsPrompt("") }, func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		if sound++; a.status == 200 && a.complete {
			served++
		}
	})
	all.Wait()
	l.report("requests with the part", sound, served)
}

// turnsPrompt returns the prompt of a new chat: the part that all share, turns, another part, and
// the part of the request itself.
func turnsPrompt(part string) string {
	var b strings.Builder
	b.WriteString("a1:512")
	for range turnsBefore {
		fmt.Fprintf(&b, ",%x:20", 1<<24+rand.IntN(1<<28))
	}
	fmt.Fprintf(&b, ",%s%x:100", part, rand.Uint32())
	return b.String()
}

func (l *deadlyLog) report(what string, sound, served int) {
	l.mu.Lock()
	l.closing = true
	late := 0
	if len(l.crashes) >= l.known {
		for _, at := range l.arrivals {
			if at.Sub(l.crashes[l.known-1]) > contactTime {
				late++
			}
		}
	}
	crashes, arrivals := len(l.crashes), len(l.arrivals)
	l.mu.Unlock()
	l.scene.result(false, "runners crashed %d times; deadly requests that reached one: %d; of %d sound ones %d were served", crashes, arrivals, sound, served)
	l.scene.result(late > maxDeadly, "%s: reached a runner later than %s after crash %d: %d times, permitted are %d", what, contactTime, l.known, late, maxDeadly)
	l.wait.Wait()
}
