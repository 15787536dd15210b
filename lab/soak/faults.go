package main

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/runner"
	"camphorpulley.org/lab/soak/store"
)

// fault is something that happens to the system. Begin reports what is harmed and
// how; end ends it after a time, and is nil if it ends by itself.
type fault struct {
	name    string
	planned bool
	begin   func(s *soak, random *rand.Rand) (part, how string, end func())
}

var faults = []fault{
	{"term", true, func(s *soak, random *rand.Rand) (string, string, func()) { return s.signalled(random, syscall.SIGTERM) }},
	{"drain", true, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.replace(random, (*runner.Runner).Drain)
	}},
	{"remove", true, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.replace(random, (*runner.Runner).Remove)
	}},
	{"config", true, config},
	{"evacuate", true, evacuate},
	{"add_cold", true, addCold},
	{"kill", false, func(s *soak, random *rand.Rand) (string, string, func()) { return s.signalled(random, syscall.SIGKILL) }},
	{"kill_all", false, killAll},
	{"pause", false, pause},
	{"crash", false, crash},
	{"grey", false, grey},
	{"harm", false, harmRunner},
	{"store", false, harmStore},
	{"store_way", false, harmStoreWay},
}

const (
	// shortestFault and longestFault bound how long a fault lasts, longestGap the
	// time between two: they overlap.
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	longestGap    = 1200 * time.Millisecond
	// linger is how long a runner serves on after the drain time.
	linger = 500 * time.Millisecond
)

// harm lets faults happen for the length of the soak, and ends them.
func (s *soak) harm(ctx context.Context, random *rand.Rand) {
	until := time.Now().Add(s.length)
	var ends []chan struct{}
	for time.Now().Before(until) && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		span := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		gap := time.Duration(random.Int64N(int64(longestGap)))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		if s.planned && !f.planned {
			continue
		}
		ended := make(chan struct{})
		ends = append(ends, ended)
		go func() {
			defer close(ended)
			s.happen(ctx, f, span, own)
		}()
		sleep(ctx, gap)
	}
	for _, ended := range ends {
		<-ended
	}
}

func (s *soak) happen(ctx context.Context, f fault, span time.Duration, random *rand.Rand) {
	part, how, end := f.begin(s, random)
	if part == "" {
		return
	}
	done := s.ledger.Harm(time.Now(), part, f.planned)
	s.log.Info("fault_injected", zap.String("fault", f.name), zap.String("part", part), zap.String("how", how), zap.Duration("for", span))
	sleep(ctx, span)
	if end != nil {
		end()
	}
	done(time.Now())
}

// stopTime is how long a router that got SIGTERM or was killed counts as harmed.
const stopTime = 5 * time.Second

func (s *soak) signalled(random *rand.Rand, signal syscall.Signal) (part, how string, end func()) {
	r := s.routers[random.IntN(len(s.routers))]
	s.send(r, signal)
	return r.id, signal.String(), func() { sleep(s.ctx, stopTime) }
}

func (s *soak) send(r *router, signal syscall.Signal) {
	if err := r.signal(signal); err != nil {
		s.ledger.Broken(time.Now(), "start", "signal to %s: %v", r.id, err)
	}
}

func killAll(s *soak, _ *rand.Rand) (part, how string, end func()) {
	for _, r := range s.routers {
		s.send(r, syscall.SIGKILL)
	}
	return ledger.Everything, "kill", func() { sleep(s.ctx, stopTime) }
}

func pause(s *soak, random *rand.Rand) (part, how string, end func()) {
	r := s.routers[random.IntN(len(s.routers))]
	s.send(r, syscall.SIGSTOP)
	return r.id, "stop", func() { s.send(r, syscall.SIGCONT) }
}

// replace replaces a runner: the new one starts first, the old one leaves in the
// given way and serves on for a while.
func (s *soak) replace(random *rand.Rand, leave func(*runner.Runner)) (part, how string, end func()) {
	r := s.take(random)
	if r == nil {
		return "", "", nil
	}
	s.add(r.Pool, r.Zone, 0)
	leave(r)
	time.AfterFunc(ledger.Drain+linger, r.Stop)
	return "plan", r.ID, nil
}

// config moves a route to another pool.
func config(s *soak, _ *rand.Rand) (part, how string, end func()) {
	s.mu.Lock()
	if s.getPool == "apps-a" {
		s.getPool = "apps-b"
	} else {
		s.getPool = "apps-a"
	}
	how = s.getPool
	s.mu.Unlock()
	s.configure()
	return "plan", how, nil
}

// outTime is how long a zone stays out beyond the time in which its runners may
// still get work.
const outTime = 2 * time.Second

// evacuate takes a zone out of service for a while, one at a time.
func evacuate(s *soak, random *rand.Rand) (part, how string, end func()) {
	zone := zones[random.IntN(len(zones))]
	if !s.evacuating.CompareAndSwap(false, true) {
		return "", "", nil
	}
	s.store.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
	s.ledger.Out(time.Now(), zone, true)
	return "plan", zone, func() {
		sleep(s.ctx, ledger.Evacuate+outTime)
		s.ledger.Out(time.Now(), zone, false)
		s.store.Put("keyed.op", "evacuate/"+zone, nil)
		s.evacuating.Store(false)
	}
}

// coldTime is how long a new engine is cold.
const coldTime = 3 * time.Second

func addCold(s *soak, random *rand.Rand) (part, how string, end func()) {
	s.add("engines", zones[random.IntN(len(zones))], coldTime)
	return "plan", "engine", nil
}

// crash ends a runner without notice; another one starts later.
func crash(s *soak, random *rand.Rand) (part, how string, end func()) {
	r := s.take(random)
	if r == nil {
		return "", "", nil
	}
	r.Crash()
	return r.ID, "crash", func() { s.add(r.Pool, r.Zone, 0) }
}

func grey(s *soak, random *rand.Rand) (part, how string, end func()) {
	r := s.pick(random)
	g := []runner.Grey{runner.Failing, runner.Losing, runner.Hanging}[random.IntN(3)]
	r.Grey(g)
	return r.ID, g.String(), func() { r.Grey(runner.Sound) }
}

var harms = []proxy.Harm{proxy.Delay, proxy.Reset, proxy.Silence, proxy.Deaf, proxy.Mute}

func harmRunner(s *soak, random *rand.Rand) (part, how string, end func()) {
	r := s.pick(random)
	h := harms[random.IntN(len(harms))]
	r.Proxy.Set(h)
	return r.ID, h.String(), func() { r.Proxy.Set(proxy.None) }
}

func harmStoreWay(s *soak, random *rand.Rand) (part, how string, end func()) {
	h := harms[random.IntN(len(harms))]
	s.way.Set(h)
	return ledger.Store, h.String(), func() { s.way.Set(proxy.None) }
}

func harmStore(s *soak, random *rand.Rand) (part, how string, end func()) {
	f := []store.Fault{store.Silent, store.Busy, store.Slow, store.Lost}[random.IntN(4)]
	s.store.Set(f)
	return ledger.Store, f.String(), func() { s.store.Set(store.None) }
}
