// Command standin-2 plays the cases of the second review: stand-ins of the platform's store, of
// runners and of clients in this process, and routers as processes of their own. It exits with 1
// if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// engineTokens is the size of an engine's cache in tokens, as in the sheet of the small deployment.
const engineTokens = 596163

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// scene is what a case is played with.
type scene struct {
	ctx      context.Context
	record   *record
	dir      string
	store    *store
	machines []*machine
	// net is the first three bytes of the loopback addresses.
	net string
	// trouble is false if the case is played without its disruption.
	trouble bool
	failed  bool
}

// unable ends the process because the case couldn't run.
func unable(err error) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	os.Exit(exitUnable)
}

// result prints and records a result of the case.
func (s *scene) result(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.record.printf("result: %s", text)
	fmt.Println(text)
	s.failed = s.failed || broken
}

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

var cases = map[string]func(*scene){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitUnable)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		unable(err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		unable(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	time.AfterFunc(caseLimit, func() { unable(fmt.Errorf("the case takes longer than %s", caseLimit)) })
	s := &scene{
		ctx: ctx, record: &record{file: file, started: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		net: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	s.store = startStore(s.net + "1")
	cases[os.Args[1]](s)
	for _, m := range s.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if s.failed {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// startMachines starts a machine in each of the zones a, b and c, and waits until they are ready.
func (s *scene) startMachines(zones ...string) {
	regions := map[string]string{"a": "r", "b": "r", "c": "r"}
	for i, zone := range zones {
		m := newMachine(s.dir, s.store.address, "edge-"+strconv.Itoa(i+1), zone, s.net+strconv.Itoa(10+i), 414, regions)
		s.machines = append(s.machines, m)
		m.start()
	}
	awaitReady(s.ctx, s.machines...)
	// All traffic starts some time after the machines.
	time.Sleep(2 * time.Second)
}

// route is a route of the configuration.
type route map[string]any

// configure writes the configuration, as the operator does.
func (s *scene) configure(routes ...route) {
	s.store.put("keyed.op", "config", mustJSON(map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{
			{
				"name": "camphor", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 18.0,
				"engine": map[string]any{
					"slots": 64, "kv_capacity_tokens": engineTokens, "kv_token_bytes": 327680, "link_mbps": 550000.0, "stride": 8,
					"models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": "orders", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}))
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		unable(err)
	}
	return text
}

// Routes like those of the small deployment.
var (
	streamRoute = route{
		"name": "die-spec", "host": host, "path_prefix": "/die/", "type": "streaming", "timeout_ms": 12000, "target_latency_ms": 600, "priority": 1,
		"service": "camphor", "max_attempts": 2, "public": false, "sticky": true, "stream_resume": true, "target_gap_ms": 300,
	}
	unsafeRoute = route{
		"name": "order-book", "host": host, "path_prefix": "/book/", "type": "unsafe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
		"service": "orders", "max_attempts": 1, "public": false,
	}
	safeRoute = route{
		"name": "order-look", "host": host, "path_prefix": "/look/", "type": "safe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
		"service": "orders", "max_attempts": 2, "public": false,
	}
)

// engine returns a runner of the service camphor.
func (s *scene) engine(id, zone, version string) *runner {
	return &runner{store: s.store, record: s.record, id: id, service: "camphor", zone: zone, version: version, slots: 64, events: 48, gap: 20 * time.Millisecond, engine: true}
}

// application returns a runner of the service orders.
func (s *scene) application(id, zone string) *runner {
	return &runner{store: s.store, record: s.record, id: id, service: "orders", zone: zone, version: "v1", slots: 6, work: 30 * time.Millisecond}
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
