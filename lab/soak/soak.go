package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/runner"
	"camphorpulley.org/lab/soak/store"
)

// options say how large a soak is.
type options struct {
	seed     uint64
	length   time.Duration
	routers  int
	callers  int
	planned  bool
	unread   bool
	program  string
	dir      string
	logLevel string
}

// soak is a fleet of real routers between stand-ins.
type soak struct {
	options
	ctx     context.Context
	log     *zap.Logger
	ledger  *ledger.Ledger
	store   *store.Store
	routers []*router
	way     *proxy.Proxy

	mu      sync.Mutex
	runners []*runner.Runner
	made    int
	version int
	getPool string
	// evacuating is set while a zone is out of service.
	evacuating atomic.Bool
	work       sync.WaitGroup
}

const (
	// settle is how long the fleet has before the first fault and after the last.
	settle = 4 * time.Second
	// measured is how long requests are counted at the end, and leastServed the
	// share of them that must be served then.
	measured    = 2 * time.Second
	leastServed = 0.9
	// enginesPerZone and appsPerZone are the sizes of the pools.
	enginesPerZone = 3
	appsPerZone    = 2
	engineSlots    = 32
	appSlots       = 24
)

var zones = []string{"a", "b"}

// start starts the stand-ins and the routers.
func (s *soak) start(ctx context.Context) error {
	if err := os.MkdirAll(s.dir, 0o750); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if s.way, err = proxy.New(ln.Addr().String()); err != nil {
		return err
	}
	s.getPool = "apps-a"
	s.configure()
	for _, zone := range zones {
		for range enginesPerZone {
			s.add("engines", zone, 0)
		}
		for range appsPerZone {
			s.add("apps-a", zone, 0)
			s.add("apps-b", zone, 0)
		}
	}
	for i := range s.options.routers {
		r, err := newRouter(s.dir, fmt.Sprintf("router-%d", i+1), zones[i%len(zones)], s.way.Address())
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	for _, r := range s.routers {
		s.work.Go(func() {
			if err := r.keep(ctx, s.program, s.unread, s.log); err != nil {
				s.ledger.Broken(time.Now(), "start", "router %s: %v", r.id, err)
			}
		})
		s.work.Go(func() { s.check(ctx, r) })
	}
	return nil
}

// coldRate is how many requests a second a cold engine bears.
const coldRate = 8

// add starts a runner.
func (s *soak) add(pool, zone string, cold time.Duration) {
	s.mu.Lock()
	s.made++
	t := runner.Terms{ID: fmt.Sprintf("i-%d", s.made), Pool: pool, Zone: zone, Slots: appSlots, Cold: cold}
	s.mu.Unlock()
	if pool == "engines" {
		t.Slots, t.ColdRate = engineSlots, coldRate
	}
	r, err := runner.Start(t, s.store, s.ledger)
	if err != nil {
		s.ledger.Broken(time.Now(), "start", "runner %s: %v", t.ID, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = append(s.runners, r)
}

// take removes a runner from those that stay, so that at least two of its pool do;
// nil if none can go.
func (s *soak) take(random *rand.Rand) *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	for _, r := range s.runners {
		count[r.Pool]++
	}
	i := random.IntN(len(s.runners))
	r := s.runners[i]
	if count[r.Pool] <= 2 {
		return nil
	}
	s.runners = append(s.runners[:i], s.runners[i+1:]...)
	return r
}

// pick returns a runner that stays.
func (s *soak) pick(random *rand.Rand) *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[random.IntN(len(s.runners))]
}

// configure writes a new configuration.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	pools := map[string]string{}
	var listed []map[string]any
	for _, r := range routes {
		pool := r.pools[0]
		if len(r.pools) > 1 {
			pool = s.getPool
		}
		pools[r.prefix] = pool
		listed = append(listed, map[string]any{
			"name": r.prefix, "host": soakHost, "path_prefix": r.prefix, "type": r.typ, "timeout_ms": deadline.Milliseconds(),
			"target_latency_ms": 300, "target_gap_ms": 300, "priority": 1, "service": pool, "max_attempts": r.tries,
			"public": false, "sticky": r.prompts, "stream_resume": r.resume,
		})
	}
	engine := map[string]any{"slots": engineSlots, "kv_capacity_tokens": 100000}
	text, err := json.Marshal(map[string]any{
		"version": s.version, "routes": listed,
		"services": []map[string]any{
			{"name": "engines", "cold_per_s": coldRate, "engine": engine}, {"name": "apps-a"}, {"name": "apps-b"},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
		"tenants": []map[string]any{
			{"name": "trust", "api_keys": []string{accounts["trust"]}}, {"name": "press", "api_keys": []string{accounts["press"]}},
		},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put("keyed.op", "config", text)
	s.ledger.Configure(time.Now(), pools)
}

// run runs a soak and returns what its requests came to.
func (s *soak) run(ctx context.Context) (map[string]int, []ledger.Violation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.work.Wait()
	defer cancel()
	s.ctx = ctx
	done := s.ledger.Harm(time.Now(), ledger.Everything, false)
	if err := s.start(ctx); err != nil {
		return nil, nil, err
	}
	for i := range s.callers {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", i+1), random: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		s.work.Go(func() { c.run(ctx) })
	}
	sleep(ctx, settle)
	done(time.Now())
	s.harm(ctx, rand.New(rand.NewPCG(s.seed, 1<<32)))
	sleep(ctx, settle)
	s.recovered(ctx)
	counts, violations := s.ledger.Result()
	return counts, violations, nil
}

// recovered checks that requests are served again once all faults are over.
func (s *soak) recovered(ctx context.Context) {
	before, _ := s.ledger.Result()
	sleep(ctx, measured)
	after, _ := s.ledger.Result()
	total, served := 0, after["200"]-before["200"]
	for outcome, n := range after {
		total += n - before[outcome]
	}
	if float64(served) < leastServed*float64(total) || served == 0 {
		s.ledger.Broken(time.Now(), "recover", "%d of %d requests were served after the last fault", served, total)
	}
}
