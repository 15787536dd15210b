package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// deadlyInterval is the time between two attempts of the deadly request.
	deadlyInterval = time.Second
	// mostRetries is the number of retries that may reach runners later than contact after the
	// third crash.
	mostRetries = 3
	// playTime is how long the deadly request comes again.
	playTime = 88 * time.Second
	// restarts is how many routers are stopped and started, one after the other.
	restarts = 5
)

// attempt is an attempt of the deadly request.
type attempt struct {
	id     string
	router string
	at     time.Time
	// inTouch reports whether the router was in touch when the attempt was sent and answered.
	inTouch bool
}

// deadlyAfterRestart lets a request come again that crashes each runner that begins to run it,
// while the routers are stopped and started in turn.
func deadlyAfterRestart(d *deployment, trouble bool) int {
	if err := d.open(9, kind{service: "orders", slots: 6, queue: 24, restartTime: 2 * time.Second}); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	time.Sleep(contact + time.Second)
	lost := make(chan int, 1)
	go func() { lost <- d.bookOrders() }()
	rolled := make(chan bool, 1)
	go func() { rolled <- !trouble || d.roll() }()
	var attempts []attempt
	until := time.Now().Add(playTime)
	for n := 0; time.Now().Before(until); n++ {
		if r := d.routers[n%len(d.routers)]; r.inRotation() && r.inTouch(contact) {
			attempts = append(attempts, d.sendDeadly(r))
		}
		time.Sleep(deadlyInterval)
	}
	close(d.stop)
	ok := <-rolled
	innocent := <-lost
	if !ok {
		fmt.Println("the routers could not be restarted in turn")
		return exitFailed
	}
	return d.judgeDeadly(attempts, 3, innocent)
}

// sendDeadly sends one attempt of the deadly request: the same path, caller and body each time.
func (d *deployment) sendDeadly(r *router) attempt {
	a := attempt{id: d.nextID("deadly"), router: r.id, at: time.Now()}
	status := d.send(r, a.id, "GET", "/look"+deadlyPath, "", "")
	a.inTouch = r.inTouch(contact)
	d.journal.printf("deadly request %s sent to %s: status %d, %d runs", a.id, r.id, status, len(d.runsOf(a.id)))
	return a
}

// roll stops the routers and starts them again in turn, each one once the one before is in touch.
func (d *deployment) roll() bool {
	time.Sleep(10 * time.Second)
	for i := range restarts {
		r := d.routers[i%len(d.routers)]
		d.journal.printf("router %s gets SIGTERM", r.id)
		<-r.signal(syscall.SIGTERM)
		d.journal.printf("router %s has ended, and is started again", r.id)
		if r.start(false) != nil || !d.awaitReady(r, 10*time.Second) {
			return false
		}
		for !r.inTouch(contact) {
			time.Sleep(50 * time.Millisecond)
		}
		d.journal.printf("router %s is in touch", r.id)
		time.Sleep(2 * time.Duration(len(d.routers)) * deadlyInterval)
	}
	return true
}

// bookOrders sends requests that run at most once until the play ends, and returns how many were
// run and got no answer of their runner.
func (d *deployment) bookOrders() int {
	lost := make(chan bool)
	sent, stop := 0, d.stop
	for ticker := time.NewTicker(50 * time.Millisecond); ; sent++ {
		select {
		case <-stop:
			ticker.Stop()
			total := 0
			for range sent {
				if <-lost {
					total++
				}
			}
			return total
		case <-ticker.C:
		}
		n := sent
		go func() {
			var r *router
			for i := range d.routers {
				if r = d.routers[(n+i)%len(d.routers)]; r.inRotation() {
					break
				}
			}
			id := d.nextID("order")
			status := d.send(r, id, "POST", "/book/order", id, "")
			missed := status != 200 && len(d.runsOf(id)) > 0
			if missed {
				d.journal.printf("order %s sent to %s ran at a runner that crashed meanwhile: status %d", id, r.id, status)
			}
			lost <- missed
		}()
	}
}

// judgeDeadly applies the rule: attempts that reach runners, sent by machines in touch, later than
// contact after a crash, counted from one.
func (d *deployment) judgeDeadly(attempts []attempt, crash, innocent int) int {
	var from time.Time
	crashes := 0
	for _, a := range attempts {
		for _, r := range d.runsOf(a.id) {
			if crashes++; crashes == crash {
				from = r.at
			}
		}
	}
	retries := 0
	for _, a := range attempts {
		if !from.IsZero() && a.inTouch && a.at.Sub(from) > contact && len(d.runsOf(a.id)) > 0 {
			retries++
			d.journal.printf("counted: %s, %d runs, %.1f s after crash %d, by %s", a.id, len(d.runsOf(a.id)), a.at.Sub(from).Seconds(), crash, a.router)
		}
	}
	summary := fmt.Sprintf("%d deadly attempts, %d crashes; %d attempts reached runners later than contact_ms after crash %d, at most %d may",
		len(attempts), crashes, retries, crash, mostRetries)
	if innocent > 0 {
		summary += fmt.Sprintf("; %d other requests ran at runners that crashed and were lost", innocent)
	}
	d.journal.printf("%s", summary)
	fmt.Println(summary)
	if retries > mostRetries {
		return exitBroken
	}
	return exitHeld
}
