package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["long-chats"] = playLongChats }

const (
	// chatRate is the number of chats a second, chatTime for how long they come.
	chatRate = 23
	chatTime = 60 * time.Second
	// chatTurns and turnTokens make up the prompt of a long chat: each turn is a part.
	chatTurns  = 400
	turnTokens = 30
	// lookInterval is the time between two requests of the ordinary client at a machine.
	lookInterval = 100 * time.Millisecond
	// lookTimeout is timeout_ms of their route. An answer is due half a second later.
	lookTimeout = 800 * time.Millisecond
	lookGrace   = 500 * time.Millisecond
	// minLate is how many requests must be unanswered at their time-out for a result.
	minLate = 8
)

// playLongChats plays clients whose chats have many short turns. The prompt of each lists its
// turns as parts, within the limit of the header. Without trouble, the prompts are as long and
// have three parts.
func playLongChats(s *scene) {
	s.configure(streamRoute, safeRoute)
	for i, zone := range []string{"a", "b", "c"} {
		for j := range 4 {
			s.engine(fmt.Sprintf("i-engine-%s%d", zone, j), zone, "v1").start(s.net + "20:0")
		}
		s.application(fmt.Sprintf("i-app-%d", i), zone).start(s.net + "21:0")
	}
	s.startMachines("a", "b", "c")
	var all sync.WaitGroup
	var mu sync.Mutex
	late, missing, looks := 0, 0, 0
	end := time.Now().Add(chatTime)
	for _, m := range s.machines {
		all.Go(func() {
			t := newClient()
			var pending sync.WaitGroup
			for ; time.Now().Before(end); time.Sleep(lookInterval) {
				pending.Go(func() {
					r := request{id: newID(), method: "GET", path: "/look/" + newID(), deadline: 1500 * time.Millisecond}
					a := send(t, m.front, r, lookTimeout+lookGrace)
					s.record.printf("look %s at %s: %s", r.id, m.name, a)
					mu.Lock()
					defer mu.Unlock()
					looks++
					if a.took > lookTimeout {
						late++
						if a.status == 0 {
							missing++
						}
					}
				})
			}
			pending.Wait()
		})
	}
	largest, answered, chats := 0, 0, 0
	for ; time.Now().Before(end); time.Sleep(time.Second / chatRate) {
		prompt := longPrompt()
		if !s.trouble {
			prompt = shortPrompt()
		}
		largest = max(largest, len(prompt))
		m := s.machines[rand.IntN(len(s.machines))]
		all.Go(func() {
			r := request{id: newID(), method: "POST", path: "/die/2f", prompt: prompt, body: "draft", deadline: 12 * time.Second}
			a := send(newClient(), m.front, r, 12500*time.Millisecond)
			s.record.printf("chat %s at %s: %s", r.id, m.name, a)
			mu.Lock()
			defer mu.Unlock()
			if chats++; a.complete && a.status == 200 {
				answered++
			}
		})
	}
	all.Wait()
	for _, m := range s.machines {
		s.result(!m.alive(), "%s: process runs %t, ready %t, resident %d MB of %d", m.name, m.alive(), m.isReady(), m.residentMB(), m.memoryMB)
	}
	s.result(false, "chats: %d of %d answered, the longest prompt header has %d bytes", answered, chats, largest)
	s.result(late >= minLate && 2*missing > late, "requests to order-look: %d, unanswered at timeout_ms: %d, of those without an answer half a second later: %d", looks, late, missing)
}

// longPrompt returns the prompt of a new chat with many turns.
func longPrompt() string {
	var b strings.Builder
	fmt.Fprintf(&b, "a%d:512", rand.IntN(3))
	for range chatTurns {
		fmt.Fprintf(&b, ",%x:%d", 1<<24+rand.IntN(1<<28), turnTokens)
	}
	fmt.Fprintf(&b, ",%x:100", rand.Uint32())
	return b.String()
}

// shortPrompt returns a prompt of as many tokens with three parts.
func shortPrompt() string {
	return fmt.Sprintf("a%d:512,%x:%d,%x:100", rand.IntN(3), 1<<24+rand.IntN(1<<28), chatTurns*turnTokens, rand.Uint32())
}
