package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
)

var zones = []string{"levant-a", "levant-a", "levant-b", "levant-c"}

// deployment is a small deployment: a store, four routers and the runners of one application.
type deployment struct {
	dir     string
	journal *journal
	store   *store
	routers []*router
	stop    chan struct{}

	mu   sync.Mutex
	runs []run
	sent int
}

// open starts a deployment with runners of a kind, and waits until all routers are ready.
func (d *deployment) open(runners int, k kind) error {
	var err error
	if d.store, err = startStore(); err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-sort", "host": host, "path_prefix": "/sort/", "type": "streaming", "timeout_ms": 2500, "target_latency_ms": 300, "priority": 2, "service": "camphor", "max_attempts": 2, "public": false, "sticky": true, "stream_resume": true, "target_gap_ms": 300},
			{"name": "r-look", "host": host, "path_prefix": "/look/", "type": "safe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "orders", "max_attempts": 2, "public": false, "sticky": false, "stream_resume": false},
			{"name": "r-book", "host": host, "path_prefix": "/book/", "type": "unsafe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "orders", "max_attempts": 1, "public": false, "sticky": false, "stream_resume": false},
		},
		"services": []map[string]any{{"name": "camphor", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 18.0, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 596163, "kv_token_bytes": 327680, "models": []map[string]any{{"name": "m"}}}}, {"name": "orders", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	d.store.put("keyed.op", -1, record{key: "config", value: config})
	for i := range runners {
		if _, err := startRunner(k, fmt.Sprintf("i-%02d", i), zones[1+i%3], d.store, d.record); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		r, err := newRouter(d.dir, fmt.Sprintf("edge-%s-%d", zone, i), zone, d.store.addr)
		if err != nil {
			return err
		}
		d.routers = append(d.routers, r)
		if err := r.start(true); err != nil {
			return err
		}
		go r.watch(d.stop)
	}
	for _, r := range d.routers {
		if !d.awaitReady(r, 10*time.Second) {
			return fmt.Errorf("router %s isn't ready", r.id)
		}
	}
	return nil
}

// awaitReady waits until the platform forwards new connections to a router.
func (d *deployment) awaitReady(r *router, most time.Duration) bool {
	for until := time.Now().Add(most); !r.inRotation(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

func (d *deployment) record(r run) {
	d.mu.Lock()
	d.runs = append(d.runs, r)
	d.mu.Unlock()
	if r.deadly {
		d.journal.printf("runner %s begins to run %s, %s, and crashes", r.runner, r.id, r.path)
	}
}

// runsOf returns the runs of an attempt.
func (d *deployment) runsOf(id string) []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []run
	for _, r := range d.runs {
		if r.id == id {
			all = append(all, r)
		}
	}
	return all
}

// nextID returns the id of the next attempt of a client.
func (d *deployment) nextID(kind string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	return fmt.Sprintf("%s-%05d", kind, d.sent)
}

// send sends one attempt to a router over a new connection, and returns the status; zero if there
// was no complete answer. Prompt is the list of the parts of its prompt; empty if it has none.
func (d *deployment) send(r *router, id, method, path, body, prompt string) int {
	q, err := http.NewRequest(method, "http://"+r.front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set(headerID, id)
	q.Header.Set("Camphorpulley-Key", key)
	q.Header.Set("Camphorpulley-Deadline-Ms", "1500")
	if prompt != "" {
		q.Header.Set("Camphorpulley-Model", "m")
		q.Header.Set("Camphorpulley-Token-Count", "1029,80")
		q.Header.Set("Camphorpulley-Prompt-Prefix", prompt)
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, r := range d.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range d.routers {
		if r.exited != nil {
			<-r.exited
		}
	}
}
