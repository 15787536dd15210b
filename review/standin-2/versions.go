package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	cases["departed-version"] = playDepartedVersion
	cases["upgraded-in-place"] = playUpgradedInPlace
}

// maxMixed is how many streams may hold events of two versions.
const maxMixed = 2

// streamLog holds what clients have got of their streams.
type streamLog struct {
	scene *scene
	mu    sync.Mutex
	wait  sync.WaitGroup
	// begun counts the streams that began, takenUp those that a client took up again, mixed those
	// with events of two versions.
	begun, takenUp, continued, mixed, complete int
}

// begin starts a client that reads one stream, and takes it up again once if it breaks.
func (l *streamLog) begin(at *machine) {
	l.wait.Go(func() {
		s := l.scene
		deadline := time.Now().Add(12 * time.Second)
		first := request{id: newID(), method: "POST", path: "/die/2f", prompt: shortPrompt(), body: "draft", deadline: 12 * time.Second}
		a := send(newClient(), at.front, first, 12500*time.Millisecond)
		s.record.printf("stream %s at %s: %s", first.id, at.name, a)
		events := a.events
		tookUp, wentOn := false, false
		for try := 0; try < 4 && len(events) > 0 && !a.complete && time.Now().Before(deadline); try++ {
			time.Sleep(min(max(a.retryAfter, 250*time.Millisecond), 2*time.Second))
			next := first
			next.id, next.lastEvent, next.resumes = newID(), events[len(events)-1].number, first.id
			next.deadline = time.Until(deadline)
			at = s.machines[rand.IntN(len(s.machines))]
			a = send(newClient(), at.front, next, next.deadline+500*time.Millisecond)
			s.record.printf("stream %s taken up as %s after event %d at %s: %s", first.id, next.id, next.lastEvent, at.name, a)
			tookUp, wentOn = true, wentOn || len(a.events) > 0
			events = append(events, a.events...)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.count(first.id, events, a.complete, tookUp, wentOn)
	})
}

func (l *streamLog) count(id string, events []clientEvent, complete, tookUp, wentOn bool) {
	if len(events) == 0 {
		return
	}
	l.begun++
	if complete {
		l.complete++
	}
	if tookUp {
		l.takenUp++
	}
	if wentOn {
		l.continued++
	}
	for i, e := range events[1:] {
		if e.version != events[i].version {
			l.mixed++
			l.scene.record.printf("mixed: stream %s has event %d of %s and event %d of %s", id, events[i].number, events[i].version, e.number, e.version)
			return
		}
	}
}

func (l *streamLog) report() {
	l.wait.Wait()
	l.scene.result(l.mixed > maxMixed, "streams: %d begun, %d complete, %d taken up again, %d of these went on; with events of two versions: %d, permitted are %d",
		l.begun, l.complete, l.takenUp, l.continued, l.mixed, maxMixed)
}

const (
	// settleTime is longer than a stream may last over a client's tries.
	settleTime = 20 * time.Second
	// leaveTime is how long a runner serves after its entry was removed: drain_ms and a little longer.
	leaveTime = 3500 * time.Millisecond
	// killDelay is the time from the removal of the entries until the processes are killed.
	killDelay = time.Second
	// restartDelay is the time from the end of a process until the platform starts it again.
	restartDelay = 200 * time.Millisecond
)

// playDepartedVersion plays a service with runners of two versions. Those of one version leave:
// their entries are removed, and they serve on for drain_ms and a little longer. Meanwhile all
// router processes are killed and start again, and clients take their streams up.
func playDepartedVersion(s *scene) {
	s.configure(streamRoute, safeRoute)
	var leaving []*runner
	for i, zone := range []string{"a", "b", "c"} {
		s.engine("i-old-"+zone, zone, "v1").start(s.net + "20:0")
		r := s.engine("i-new-"+zone, zone, "v2")
		r.start(s.net + "20:0")
		leaving = append(leaving, r)
		s.application(fmt.Sprintf("i-app-%d", i), zone).start(s.net + "21:0")
	}
	for _, r := range leaving {
		// 48 events in some 3 s.
		r.gap = 60 * time.Millisecond
	}
	s.startMachines("a", "b", "c")
	time.Sleep(settleTime)
	l := &streamLog{scene: s}
	s.beginStreams(l, 20, 2*time.Second)
	for _, r := range leaving {
		s.record.printf("the entry of %s is removed", r.id)
		r.remove()
	}
	time.Sleep(killDelay)
	if s.trouble {
		s.killAll()
	}
	time.Sleep(leaveTime - killDelay)
	for _, r := range leaving {
		s.record.printf("%s ends", r.id)
		r.crash()
	}
	l.report()
}

// beginStreams begins a number of streams a second, at the machines in turn.
func (s *scene) beginStreams(l *streamLog, perSecond int, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		l.begin(s.machines[i%len(s.machines)])
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// killAll kills all router processes at the same moment, and starts them again.
func (s *scene) killAll() {
	s.record.printf("all router processes are killed")
	var all sync.WaitGroup
	for _, m := range s.machines {
		all.Go(m.kill)
	}
	all.Wait()
	time.Sleep(restartDelay)
	for _, m := range s.machines {
		m.start()
	}
	awaitReady(s.ctx, s.machines...)
	s.record.printf("all machines are ready again")
}

const (
	// gapTime is how long a runner is down, upTime for how long it is up again.
	gapTime = 200 * time.Millisecond
	upTime  = 1500 * time.Millisecond
	// waves is how often a quarter of the runners of the service go down, others each time, and
	// waveInterval the time between two.
	waves        = 2
	waveInterval = 5 * time.Second
)

// playUpgradedInPlace plays runners that crash and start again under their ids and addresses, with
// another version of their software, and soon crash once more.
func playUpgradedInPlace(s *scene) {
	s.configure(streamRoute, safeRoute)
	var down [waves][]*runner
	for i, zone := range []string{"a", "b", "c"} {
		for j := range 4 {
			r := s.engine(fmt.Sprintf("i-engine-%s%d", zone, j), zone, "v1")
			r.gap = 60 * time.Millisecond
			r.start(s.net + "20:0")
			if j < waves {
				down[j] = append(down[j], r)
			}
		}
		s.application(fmt.Sprintf("i-app-%d", i), zone).start(s.net + "21:0")
	}
	s.startMachines("a", "b", "c")
	time.Sleep(3 * time.Second)
	l := &streamLog{scene: s}
	go s.beginStreams(l, 23, 12*time.Second)
	time.Sleep(3 * time.Second)
	for _, wave := range down {
		for _, r := range wave {
			if s.trouble {
				go s.upgrade(r)
			}
		}
		time.Sleep(waveInterval)
	}
	// All streams have begun by then.
	time.Sleep(2 * time.Second)
	l.report()
}

// upgrade crashes a runner, starts it again with another version, and crashes it once more.
func (s *scene) upgrade(r *runner) {
	s.record.printf("%s crashes", r.id)
	address := r.address
	r.crash()
	time.Sleep(gapTime)
	next := s.engine(r.id, r.zone, "v2")
	next.gap = r.gap
	next.start(address)
	s.record.printf("%s is back with version v2", next.id)
	time.Sleep(upTime)
	s.record.printf("%s crashes", next.id)
	next.crash()
}
