package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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

// options are the parameters of a soak.
type options struct {
	seed uint64
	// faultTime is how long faults are injected.
	faultTime time.Duration
	routers   int
	callers   int
	// rollouts configures roll-outs of new releases. A run has one.
	rollouts bool
	// disruptRollouts restarts runners in place and cuts streams also in runs with a roll-out.
	disruptRollouts bool
	// scarceSlots is the number of slots of each application; zero means appSlots.
	scarceSlots int
	// plannedOnly restricts the faults to planned work.
	plannedOnly bool
	// unreadLogs sends the routers' logs to pipes that nobody reads.
	unreadLogs bool
	// program is the path of the router's executable, previous that of an earlier build
	// beside which it runs; empty if there is none.
	program, previous string
	// dir is the folder for the routers' settings and logs.
	dir      string
	logLevel string
}

// soak is one run: router processes between stand-ins for callers, runners and the
// store.
type soak struct {
	options
	ctx     context.Context
	log     *zap.Logger
	ledger  *ledger.Ledger
	store   *store.Store
	routers []*router
	// storeProxy is the proxy through which all routers reach the store.
	storeProxy *proxy.Proxy

	// mu guards the fields up to getRoutePool.
	mu sync.Mutex
	// runners holds the runners in service.
	runners        []*runner.Runner
	runnersStarted int
	configVersion  int
	// poolRelease holds the releases of pools that were moved to one, trialRelease that of the
	// roll-out that is running; empty if there is none.
	poolRelease  map[string]string
	trialRelease string
	// getRoutePool is the pool of the route /get/, apps-a or apps-b.
	getRoutePool string
	// evacuating is true while a zone is evacuated.
	evacuating atomic.Bool
	wg         sync.WaitGroup
}

const (
	// settleTime is how long the fleet runs before the first fault and after the
	// last.
	settleTime = 4 * time.Second
	// recoveryWindow is how long requests are counted at the end of a soak, and
	// minServedShare the share of them that must be served.
	recoveryWindow = 2 * time.Second
	minServedShare = 0.9
	// enginesPerZone and appsPerZone are the numbers of runners of a pool in each
	// zone at the start.
	enginesPerZone = 3
	appsPerZone    = 2
	// engineSlots and appSlots are the numbers of requests that a runner accepts
	// at a time.
	engineSlots = 32
	appSlots    = 24
)

var zones = []string{"a", "b"}

// releases are the software releases of runners, in turn.
var releases = []string{"v1", "v2"}

// start starts the store, the runners and the router processes.
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
	if s.storeProxy, err = proxy.New(ln.Addr().String()); err != nil {
		return err
	}
	s.getRoutePool = "apps-a"
	s.writeConfig()
	for _, zone := range zones {
		for range enginesPerZone {
			s.addRunner("engines", zone, 0)
		}
		for range appsPerZone {
			s.addRunner("apps-a", zone, 0)
			s.addRunner("apps-b", zone, 0)
		}
	}
	for i := range s.options.routers {
		r, err := newRouter(s.dir, fmt.Sprintf("router-%d", i+1), zones[i%len(zones)], s.storeProxy.Address(), s.rollouts)
		if err != nil {
			return err
		}
		r.program = s.program
		s.routers = append(s.routers, r)
	}
	if s.previous != "" {
		s.drawBuilds(rand.New(rand.NewPCG(s.seed, 4<<32)))
	}
	for _, r := range s.routers {
		s.wg.Go(func() {
			if err := r.supervise(ctx, s.unreadLogs, s.log, func() { s.ledger.ForgetStatements(r.id) }); err != nil {
				s.ledger.RecordViolation(time.Now(), "harness", "supervise router %s: %v", r.id, err)
			}
		})
		s.wg.Go(func() { s.checkReadiness(ctx, r) })
	}
	return nil
}

// writeConfig writes a new version of the configuration to the store, with the
// current pool of the route /get/.
func (s *soak) writeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion += 3
	pools := map[string]string{}
	var listed []map[string]any
	for _, r := range routes {
		pool := r.pools[0]
		if len(r.pools) > 1 {
			pool = s.getRoutePool
		}
		pools[r.pathPrefix] = pool
		listed = append(listed, map[string]any{
			"name": r.pathPrefix, "host": soakHost, "path_prefix": r.pathPrefix, "type": r.routeType, "timeout_ms": requestTimeout.Milliseconds(),
			"target_latency_ms": 300, "target_gap_ms": 300, "priority": 1, "service": pool, "max_attempts": r.maxAttempts,
			"public": false, "sticky": r.streams, "stream_resume": r.resumable,
		})
	}
	listed = append(listed, s.idleRoutes()...)
	engine := map[string]any{"slots": engineSlots, "kv_capacity_tokens": 100000}
	text, err := json.Marshal(map[string]any{
		"version": s.configVersion, "routes": listed,
		"services": []map[string]any{
			{"name": "engines", "cold_per_s": coldRate, "engine": engine}, {"name": "apps-a"}, {"name": "apps-b"},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
		"tenants": []map[string]any{
			{"name": "trust", "api_keys": []string{apiKeys["trust"]}}, {"name": "press", "api_keys": []string{apiKeys["press"]}},
		},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put("keyed.op", "config", text)
	s.ledger.RecordConfig(time.Now(), pools)
}

const (
	// largeConfigEvery selects the seeds with a large configuration: its multiples.
	largeConfigEvery = 3
	// idleRouteCount is the number of routes without requests in a large configuration.
	idleRouteCount = 1500
)

// idleRoutes returns the routes that make a configuration large; none for most seeds.
func (s *soak) idleRoutes() []map[string]any {
	if s.seed%largeConfigEvery != 0 {
		return nil
	}
	all := make([]map[string]any, 0, idleRouteCount)
	for i := range idleRouteCount {
		name := fmt.Sprintf("idle-%d", i)
		all = append(all, map[string]any{
			"name": name, "host": name + "." + soakHost, "path_prefix": "/", "type": "safe", "timeout_ms": requestTimeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 1, "service": "apps-a", "max_attempts": 1, "public": false, "sticky": false, "stream_resume": false,
		})
	}
	return all
}

// run starts the fleet and the callers, injects faults, and checks that the fleet
// recovers. It returns the number of requests by outcome and of events, and the violations.
func (s *soak) run(ctx context.Context) (map[string]int, []ledger.Violation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer cancel()
	s.ctx = ctx
	recordStartupEnd := s.ledger.BeginFault(time.Now(), ledger.Fault{Component: ledger.AllComponents})
	if err := s.start(ctx); err != nil {
		return nil, nil, err
	}
	for i := range s.callers {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", i+1), random: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		s.wg.Go(func() { c.run(ctx) })
	}
	sleep(ctx, settleTime)
	recordStartupEnd(time.Now())
	s.wg.Go(func() { s.letRunnersSpeak(ctx, rand.New(rand.NewPCG(s.seed, 2<<32))) })
	s.wg.Go(func() { s.restoreStore(ctx, rand.New(rand.NewPCG(s.seed, 3<<32))) })
	s.wg.Go(func() { s.slowRunners(ctx, rand.New(rand.NewPCG(s.seed, 7<<32))) })
	s.wg.Go(func() { s.restartRunners(ctx, rand.New(rand.NewPCG(s.seed, 6<<32))) })
	s.wg.Go(func() { s.disruptStreams(ctx, rand.New(rand.NewPCG(s.seed, 9<<32))) })
	if s.previous != "" {
		s.wg.Go(func() { s.replaceRouters(ctx, rand.New(rand.NewPCG(s.seed, 5<<32))) })
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.rollOut(ctx, rand.New(rand.NewPCG(s.seed, 8<<32)))
	}()
	s.injectFaults(ctx, rand.New(rand.NewPCG(s.seed, 1<<32)))
	<-ended
	sleep(ctx, settleTime)
	s.checkRecovery(ctx)
	s.ledger.CheckUnended(time.Now())
	outcomes, violations := s.ledger.Result()
	maps.Copy(outcomes, s.ledger.Events())
	return outcomes, violations, nil
}

// checkRecovery checks that requests are served again after all faults have ended.
func (s *soak) checkRecovery(ctx context.Context) {
	before, _ := s.ledger.Result()
	sleep(ctx, recoveryWindow)
	after, _ := s.ledger.Result()
	total, served := 0, after["200"]-before["200"]
	for outcome, n := range after {
		total += n - before[outcome]
	}
	if float64(served) < minServedShare*float64(total) || served == 0 {
		s.ledger.RecordViolation(time.Now(), "recover", "%d of %d requests were served after the last fault, want at least one and a share of %g",
			served, total, minServedShare)
	}
}
