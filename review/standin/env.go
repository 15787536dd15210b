package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// env is one deployment: routers between stand-ins for the platform, runners and clients.
type env struct {
	// root is the repository, dir a temporary folder.
	root, dir string
	// network holds the first three bytes of the machines' loopback addresses.
	network string
	zones   []string
	ports   ports
	log     *recorder
	store   *store
	routers []*router
	runners []*runner
	ctx     context.Context
	cancel  context.CancelFunc
	version int
}

// machines are the machines of the deployment by zone, as in zfe-press.
var machines = []string{"levant-a", "levant-a", "levant-b", "levant-c"}

func newEnv(root, record string) (*env, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	e := &env{
		root: root, dir: dir, zones: []string{"levant-a", "levant-b", "levant-c"},
		network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if e.log, err = newRecorder(record); err != nil {
		return nil, err
	}
	var ips []string
	for i := range machines {
		ips = append(ips, e.machineIP(i))
	}
	if e.ports, err = freePorts(ips); err != nil {
		return nil, err
	}
	e.store, err = startStore(e.network + ".1")
	return e, err
}

// machineIP returns the address of a machine by its number.
func (e *env) machineIP(number int) string { return fmt.Sprintf("%s.%d", e.network, 10+number) }

// addRunner starts a runner.
func (e *env) addRunner(c runnerConfig) (*runner, error) {
	r, err := startRunner(c, fmt.Sprintf("%s.%d", e.network, 100+len(e.runners)), e.store, e.log)
	if err == nil {
		e.runners = append(e.runners, r)
	}
	return r, err
}

// addPool starts a number of runners of a service in each zone.
func (e *env) addPool(c runnerConfig, perZone int) ([]*runner, error) {
	var all []*runner
	for _, zone := range e.zones {
		for i := range perZone {
			one := c
			one.zone, one.id = zone, fmt.Sprintf("i-%s-%s-%d", c.service, strings.TrimPrefix(zone, "levant-"), i+1)
			r, err := e.addRunner(one)
			if err != nil {
				return nil, err
			}
			all = append(all, r)
		}
	}
	return all, nil
}

// startRouters starts the routers and waits until all of them are in rotation.
func (e *env) startRouters() error {
	for i, zone := range machines {
		r, err := newRouter(e, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, i)
		if err != nil {
			return err
		}
		e.routers = append(e.routers, r)
		go r.supervise(e)
		go r.checkReadiness(e.ctx)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range e.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("machine %s isn't ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// writeConfig writes the configuration with the given routes.
func (e *env) writeConfig() {
	e.version += 3
	route := func(name, kind, service string, timeout, objective, gap, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "target_gap_ms": gap, "priority": 1, "service": service, "max_attempts": attempts,
			"public": false, "sticky": gap > 0, "stream_resume": resume,
		}
	}
	e.store.putConfig(map[string]any{
		"version": e.version,
		"routes": []any{
			route("die-spec", "streaming", "camphor", 12000, 600, 300, 2, true),
			route("order-book", "unsafe", "orders", 1500, 150, 0, 1, false),
			route("order-look", "safe", "orders", 1500, 150, 0, 2, false),
		},
		"services": []any{
			map[string]any{"name": "camphor", "cold_per_s": 18, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 596163}, "health_path": "/health"},
			map[string]any{"name": "orders", "health_path": "/health"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}

// stop ends all processes that were started.
func (e *env) stop() {
	e.cancel()
	var all sync.WaitGroup
	for _, r := range e.routers {
		all.Go(r.stop)
	}
	all.Wait()
	e.log.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of the routers:", e.dir)
		return
	}
	_ = os.RemoveAll(e.dir)
}
