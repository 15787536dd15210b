package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// partTime is how long requests with the deadly part come.
	partTime = 85 * time.Second
	// kills is how often all routers are killed, killInterval the time before each of these, and
	// killedTime the time until they are started again.
	kills        = 2
	killInterval = 28 * time.Second
	killedTime   = 200 * time.Millisecond
)

// deadlyPartAfterKill sends requests with a part that crashes each engine that begins to write an
// answer on it, no two alike, beside sound ones that share their other parts. All routers are killed
// at the same moment meanwhile, and started again.
func deadlyPartAfterKill(d *deployment, trouble bool) int {
	if err := d.open(12, kind{service: "camphor", slots: 64, queue: 192, restartTime: 2 * time.Second}); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	var others sync.WaitGroup
	others.Go(d.sortTickets)
	time.Sleep(contact + time.Second)
	killed := make(chan bool, 1)
	go func() { killed <- !trouble || d.killAll() }()
	var attempts []attempt
	until := time.Now().Add(partTime)
	for n := 0; time.Now().Before(until); n++ {
		if r := d.routers[n%len(d.routers)]; r.inRotation() && r.inTouch(contact) {
			a := attempt{id: d.nextID("deadly"), router: r.id, at: time.Now(), inTouch: true}
			status := d.send(r, a.id, "POST", "/sort/ticket", a.id, fmt.Sprintf("a0:119,%s,%x:130", deadlyPart, 1<<20+n))
			d.journal.printf("request %s with the deadly part sent to %s: status %d, %d runs", a.id, r.id, status, len(d.runsOf(a.id)))
			attempts = append(attempts, a)
		}
		time.Sleep(deadlyInterval)
	}
	close(d.stop)
	others.Wait()
	if !<-killed {
		fmt.Println("the routers aren't back")
		return exitFailed
	}
	return d.judgeDeadly(attempts, 5, 0)
}

// killAll kills all routers at the same moment and starts them again, a few times.
func (d *deployment) killAll() bool {
	for range kills {
		time.Sleep(killInterval)
		d.journal.printf("all routers are killed")
		for _, r := range d.routers {
			<-r.signal(syscall.SIGKILL)
		}
		time.Sleep(killedTime)
		for _, r := range d.routers {
			if r.start(false) != nil {
				return false
			}
		}
		for _, r := range d.routers {
			if !d.awaitReady(r, 10*time.Second) {
				return false
			}
		}
		d.journal.printf("all routers are ready")
	}
	return true
}

// sortTickets sends sound streaming requests until the play ends.
func (d *deployment) sortTickets() {
	var sent sync.WaitGroup
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-d.stop:
			sent.Wait()
			return
		case <-ticker.C:
		}
		sent.Go(func() {
			id := d.nextID("ticket")
			status := d.send(d.routers[n%len(d.routers)], id, "POST", "/sort/ticket", id, fmt.Sprintf("a0:119,b%d:580,%x:130", n%8, n))
			if status != 200 {
				d.journal.printf("request %s: status %d, %d runs", id, status, len(d.runsOf(id)))
			}
		})
	}
}
