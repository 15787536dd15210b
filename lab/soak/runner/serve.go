package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"camphorpulley.org/lab/soak/ledger"
)

// headerRequestID is the field that identifies a request.
const headerRequestID = "Camphorpulley-Attempt-Id"

// ServeHTTP implements http.Handler. It responds to cache inventory queries with an
// empty inventory and to report queries with the start of its process, refuses requests that are addressed to another instance or
// exceed the slots, and records and runs all others.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerRequestID)
	connOf(q).begin(id)
	if q.URL.Path == "/kv-list" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	}
	if q.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","born":%d}`, r.startedAt.UnixMilli())
		return
	}
	w.Header().Set(headerRequestID, id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if target := q.Header.Get("Camphorpulley-Target-Instance"); target != r.ID {
		r.refuse(w, q, id, http.StatusMisdirectedRequest)
		return
	}
	r.ledger.RecordArrival(time.Now(), r.ID, id)
	if r.isDraining() {
		w.Header().Set("Server-Leaving", "1")
		defer func() { r.ledger.RecordLeavingTold(time.Now(), r.ID, id) }()
	}
	if limit := r.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(float64(limit)/1000, 'f', -1, 64))
		defer func() { r.ledger.RecordLimitTold(time.Now(), r.ID, id) }()
	}
	if r.running.Add(1) > int64(r.Slots) {
		r.running.Add(-1)
		r.turnAway(w, q, id)
		return
	}
	defer r.running.Add(-1)
	if Mode(r.mode.Load()) == Shedding && rand.Float64() < degradedShare {
		r.turnAway(w, q, id)
		return
	}
	r.recordRun(id, q, string(body))
	// A run ends with its response, or when the connection closes.
	context.AfterFunc(q.Context(), func() { r.ledger.RecordRunEnd(time.Now(), r.ID, id) })
	r.respond(w, q, id)
}

// turnAwayTime is for how long a runner that is full, or sheds, turns a router away.
const turnAwayTime = 1500 * time.Millisecond

// turnAway responds that the request has not run, and when the router may come back.
func (r *Runner) turnAway(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Camphorpulley-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(turnAwayTime.Seconds(), 'f', -1, 64))
	r.refuse(w, q, id, http.StatusServiceUnavailable)
	r.ledger.RecordTurnedAway(time.Now(), r.ID, id, turnAwayTime)
}

// refuse responds that a request has not run, by a status. What states no id isn't one of a
// caller.
func (r *Runner) refuse(w http.ResponseWriter, q *http.Request, id string, status int) {
	if id != "" {
		r.ledger.RecordRefused(time.Now(), r.ID, q.RemoteAddr, id, status)
		connOf(q).refuse(id)
	}
	w.WriteHeader(status)
}

func (r *Runner) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// recordRun records in the ledger that the runner starts to run a request.
func (r *Runner) recordRun(id string, q *http.Request, body string) {
	now := time.Now()
	rate := 0.0
	if now.Sub(r.startedAt) < r.ColdTime {
		rate = r.ColdRate
	}
	r.mu.Lock()
	withdrawnAt := r.withdrawnAt
	r.mu.Unlock()
	r.ledger.RecordRun(ledger.Run{
		ID: id, Runner: r.ID, Pool: r.Pool, Zone: r.Zone, Release: r.Release, Conn: q.RemoteAddr, Line: q.Method + " " + q.RequestURI, Body: body,
		Tenant: q.Header.Get("Camphorpulley-Tenant"), Key: q.Header.Get("Camphorpulley-Key"), At: now, WithdrawnAt: withdrawnAt, ColdRate: rate,
	})
}

// respond simulates the work of a request, then fails as the mode requires or
// sends the response: a stream of events if the request has a prompt, else a
// plain body. A stream continues after the event in Last-Event-Id, if given.
func (r *Runner) respond(w http.ResponseWriter, q *http.Request, id string) {
	simulateWork()
	streams, stalls, cutEvent := q.Header.Get("Camphorpulley-Prompt-Prefix") != "", false, 0
	if m, release := r.currentMode(); m != Healthy && rand.Float64() < degradedShare {
		if release {
			defer func() { r.ledger.RecordBadAnswer(time.Now(), r.Pool, r.Release) }()
		}
		switch m {
		case Failing:
			w.Header().Set("Camphorpulley-Response-Signature", "failed."+id)
			w.WriteHeader(http.StatusInternalServerError)
			return
		case Dropping:
			panic(http.ErrAbortHandler)
		case Hanging:
			if stalls = streams && rand.Float64() < stallShare; !stalls {
				hang()
			}
		case Slow:
			time.Sleep(slowTime)
		case Cutting:
			cutEvent = 1 + rand.IntN(Events)
		case Healthy, Shedding:
		}
	}
	w.Header().Set("Camphorpulley-Response-Signature", "sig."+id)
	if !r.Quiet {
		w.Header().Set("Camphorpulley-Runner-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.Slots))
	}
	if !streams {
		_, _ = io.WriteString(w, PlainBody(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= Events; n++ {
		if stalls && n > Events/2 {
			hang()
		}
		event := Event(id, n, r.Release)
		if n == cutEvent {
			event = event[:rand.IntN(len(event))]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if n == cutEvent {
			panic(http.ErrAbortHandler)
		}
		simulateWork()
	}
}

// hang waits, and closes the connection.
func hang() {
	time.Sleep(hangTime)
	panic(http.ErrAbortHandler)
}

func simulateWork() { time.Sleep(minWorkTime + rand.N(workTimeRange)) }

// PlainBody returns the complete body of an application's response to a request.
func PlainBody(id string) string { return "answer to " + id + "\n" }

// Event returns the text of event n of a request's stream, counted from one, by a runner of a
// release.
func Event(id string, n int, release string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, release)
}
