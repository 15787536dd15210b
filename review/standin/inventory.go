package main

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// answerInventoryWithoutEnd kills all routers at once, while some engines answer the query for
// their cache with a body without end. Requests must be served again once recovery_s is over.
func answerInventoryWithoutEnd(e *env, trouble bool) (bool, error) {
	engines, err := e.addPool(runnerConfig{service: "camphor", version: "v1", slots: 64, events: 48, eventTime: 40 * time.Millisecond}, 4)
	if err != nil {
		return false, err
	}
	if _, err := e.addPool(runnerConfig{service: "orders", version: "v1", slots: 6, workTime: 30 * time.Millisecond}, 1); err != nil {
		return false, err
	}
	for _, r := range engines {
		if trouble && slices.Contains(inTrouble, r.id) {
			r.inventory = sendEndlessBody
		}
	}
	e.writeConfig()
	if err := e.startRouters(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	ended := make(chan struct{})
	var served serviceLog
	for range orderClients {
		clients.Go(func() { e.sendOrders(ended, &served) })
	}
	started := time.Now()
	time.Sleep(8 * time.Second)
	e.writeConfig()
	time.Sleep(ackTime)
	fault := time.Now()
	for _, r := range e.routers {
		r.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + recoveryTime)
	recovered := time.Now()
	time.Sleep(8 * time.Second)
	end := time.Now()
	close(ended)
	clients.Wait()
	for _, r := range e.routers {
		e.result("machine %s: %d processes have ended by themselves", r.name, len(r.ownEnds))
	}
	before, after := served.share(started, fault), served.share(recovered, end)
	e.result("share of the requests that were served: %.3f before the fault, %.3f from recovery_s on, at least 0.25 is needed", before, after)
	return before >= 0.25 && after < 0.25, nil
}

const (
	// orderClients is the number of clients, each with a request every orderInterval.
	orderClients  = 20
	orderInterval = 500 * time.Millisecond
	// ackTime is the time between a change of the configuration and the final fault.
	ackTime = 50 * time.Millisecond
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
)

// inTrouble names the engines that answer without end, half of the service. Each machine queries
// at least one of them after a restart.
var inTrouble = []string{"i-camphor-a-1", "i-camphor-a-2", "i-camphor-b-2", "i-camphor-b-3", "i-camphor-c-1", "i-camphor-c-2"}

// serviceLog holds when requests were sent and whether they were served.
type serviceLog struct {
	mu   sync.Mutex
	sent []time.Time
	ok   []bool
}

func (l *serviceLog) add(sent time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent, l.ok = append(l.sent, sent), append(l.ok, ok)
}

// share returns the share of the requests sent between two times that were served.
func (l *serviceLog) share(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, served := 0, 0
	for i, at := range l.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		total++
		if l.ok[i] {
			served++
		}
	}
	return float64(served) / float64(max(total, 1))
}

// sendOrders sends requests to an application until the case has ended. Each of them may be sent
// once more, as clients do with safe ones.
func (e *env) sendOrders(ended <-chan struct{}, served *serviceLog) {
	var c *conn
	for {
		select {
		case <-ended:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(orderInterval):
		}
		sent, ok := time.Now(), false
		for try := 0; try < 2 && !ok; try++ {
			c, ok = e.sendOrder(c)
		}
		served.add(sent, ok)
	}
}

// sendOrder sends a request on a connection, a new one if it is nil. It returns the connection if
// it can be used again, and whether the request was served.
func (e *env) sendOrder(c *conn) (*conn, bool) {
	q := request{id: newID(), method: http.MethodGet, path: "/order-look/2f", deadline: 1500 * time.Millisecond}
	if c == nil {
		var err error
		if c, err = e.dial(); err != nil {
			e.log.event("attempt %s: no connection: %v", q.id, err)
			return nil, false
		}
	}
	a := c.do(q)
	e.log.event("attempt %s at %s: status %d, complete %t, error %v", q.id, c.router.name, a.status, a.complete, a.err)
	ok := a.complete && a.status == http.StatusOK && a.signed && a.body == plainBody(q.id)
	if a.closes || !a.complete {
		_ = c.Close()
		return nil, ok
	}
	return c, ok
}

// sendEndlessBody answers with a body that doesn't end until the caller closes.
func sendEndlessBody(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9223372036854775807\r\n\r\n"); err != nil {
		return
	}
	for chunk := make([]byte, 16<<10); err == nil; {
		_, err = c.Write(chunk)
	}
}
