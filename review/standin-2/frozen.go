package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen-detour"] = playFrozenDetour }

const (
	// freezeTime is how long a machine stands still.
	freezeTime = 4 * time.Second
	// overlapLimit is how long the runner before may still work on a stream that goes on elsewhere.
	overlapLimit = 400 * time.Millisecond
	// gapPatience is how long clients of the route wait for the next event: four times the objective.
	gapPatience = 2400 * time.Millisecond
	// detoured is the number of streams.
	detoured = 16
)

// work is a run of a stream at a runner.
type work struct {
	runner       string
	begun, ended time.Time
}

// workLog holds the runs by the id of the client attempt.
type workLog struct {
	mu   sync.Mutex
	runs map[string][]*work
}

func (l *workLog) begin(id, runner string) *work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &work{runner: runner, begun: time.Now()}
	l.runs[id] = append(l.runs[id], w)
	return w
}

func (l *workLog) end(w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.ended = time.Now()
}

// playFrozenDetour plays two machines of a zone that are partitioned from all engines, so that
// their streams go by other machines. One of the two then stands still, and its clients take their
// streams up elsewhere. The partition refuses new connections and lets open ones live on: the
// other machines, which have some to each engine, don't notice it.
func playFrozenDetour(s *scene) {
	s.configure(streamRoute, safeRoute)
	l := &workLog{runs: map[string][]*work{}}
	var engines []*runner
	for i, zone := range []string{"a", "b", "c"} {
		for j := range 4 {
			r := s.engine(fmt.Sprintf("i-engine-%s%d", zone, j), zone, "v1")
			r.events, r.gap, r.works = 80, 90*time.Millisecond, l
			r.start(s.net + "20:0")
			engines = append(engines, r)
		}
		s.application(fmt.Sprintf("i-app-%d", i), zone).start(s.net + "21:0")
	}
	s.startMachines("a", "a", "b", "c")
	time.Sleep(3 * time.Second)
	frozen, others := s.machines[0], s.machines[2:]
	// The machines of the other zones open connections to all engines.
	var all sync.WaitGroup
	for _, m := range others {
		for range 100 {
			all.Go(func() {
				r := request{id: newID(), method: "POST", path: "/die/short", prompt: ownPrompt(), body: "b", deadline: 12 * time.Second}
				send(newClient(), m.front, r, 12*time.Second)
			})
		}
	}
	all.Wait()
	if s.trouble {
		s.record.printf("engines refuse new connections: the machines of zone a reach none")
		for _, r := range engines {
			r.refuse()
		}
	}
	overlaps := 0
	var mu sync.Mutex
	for range detoured {
		all.Go(func() {
			deadline := time.Now().Add(12 * time.Second)
			first := request{id: newID(), method: "POST", path: "/die/2f", prompt: ownPrompt(), body: "b", deadline: 12 * time.Second}
			a := sendPatient(newClient(), frozen.front, first, gapPatience)
			s.record.printf("stream %s at %s: %s", first.id, frozen.name, a)
			if a.complete || len(a.events) == 0 {
				return
			}
			next := first
			next.id, next.lastEvent, next.resumes, next.deadline = newID(), a.events[len(a.events)-1].number, first.id, time.Until(deadline)
			m := others[rand.IntN(len(others))]
			b := sendPatient(newClient(), m.front, next, gapPatience)
			s.record.printf("stream %s taken up as %s at %s: %s", first.id, next.id, m.name, b)
			mu.Lock()
			defer mu.Unlock()
			if l.overlap(s.record, first.id, next.id) {
				overlaps++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		for _, r := range engines {
			r.admit()
		}
		s.record.printf("engines accept connections again")
		frozen.signal(syscall.SIGSTOP)
		s.record.printf("%s stands still", frozen.name)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		s.record.printf("%s goes on", frozen.name)
	}
	all.Wait()
	s.result(overlaps > 0, "streams: %d; that went on at another runner while the one before still worked %s later: %d", detoured, overlapLimit, overlaps)
}

// overlap reports whether a stream went on at another runner while the one before still worked.
func (l *workLog) overlap(r *record, first, next string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, before := range l.runs[first] {
		for _, after := range l.runs[next] {
			limit := after.begun.Add(overlapLimit)
			if before.runner != after.runner && (before.ended.IsZero() || before.ended.After(limit)) {
				r.printf("stream %s went on at %s as %s; %s worked on it for %d ms then", first, after.runner, next, before.runner, before.ended.Sub(after.begun).Milliseconds())
				return true
			}
		}
	}
	return false
}

// ownPrompt returns a prompt that shares no part.
func ownPrompt() string { return fmt.Sprintf("%x:1000", rand.Uint32()) }
