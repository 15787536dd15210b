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

// fault is a kind of fault, or of planned work, that a soak injects. The function
// begin starts it and returns the affected component and details for the log. The
// component is empty if the fault could not be injected, and "plan" for planned
// work that affects no component, so that all limits still apply. The function end
// ends the fault after its duration; it is nil if there is nothing to end.
type fault struct {
	name   string
	impact impact
	begin  func(s *soak, random *rand.Rand) (component, detail string, end func())
}

// impact is how a fault affects its component.
type impact int

const (
	planned impact = iota
	// outage keeps the component from running or from being reached, or may.
	outage
	// misbehaviour is a fault of a component that runs and is reached all the while.
	misbehaviour
)

// faults holds the kinds of faults. A seed chooses them by index, so that their
// order is part of what a seed stands for.
var faults = []fault{
	{"term", planned, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.signalRouter(random, syscall.SIGTERM)
	}},
	{"drain", planned, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.replaceRunner(random, (*runner.Runner).Drain)
	}},
	{"remove", planned, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.replaceRunner(random, (*runner.Runner).Remove)
	}},
	{"config", planned, switchPool},
	{"evacuate", planned, evacuateZone},
	{"add_cold", planned, addColdEngine},
	{"kill", outage, func(s *soak, random *rand.Rand) (string, string, func()) {
		return s.signalRouter(random, syscall.SIGKILL)
	}},
	{"kill_all", outage, killRouters},
	{"pause", outage, pauseRouter},
	{"crash", outage, crashRunner},
	{"degraded", misbehaviour, degradeRunner},
	{"runner_network", outage, faultRunnerNetwork},
	{"store", outage, faultStore},
	{"store_network", outage, faultStoreNetwork},
}

const (
	// minFaultTime and maxFaultTime are the limits of a fault's duration, and
	// maxFaultGap that of the time between the starts of two faults. Faults may
	// overlap.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 3 * time.Second
	maxFaultGap  = 1200 * time.Millisecond
	// stopDelay is how long a withdrawn runner serves after the drain limit.
	stopDelay = 500 * time.Millisecond
)

// injectFaults injects random faults for faultTime and waits until all have ended.
func (s *soak) injectFaults(ctx context.Context, random *rand.Rand) {
	deadline := time.Now().Add(s.faultTime)
	var running []chan struct{}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		gap := time.Duration(random.Int64N(int64(maxFaultGap)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		if s.plannedOnly && f.impact != planned {
			continue
		}
		ended := make(chan struct{})
		running = append(running, ended)
		go func() {
			defer close(ended)
			s.inject(ctx, f, duration, faultRandom)
		}()
		sleep(ctx, gap)
	}
	for _, ended := range running {
		<-ended
	}
}

// inject starts a fault, ends it after the duration, and records both in the
// ledger.
func (s *soak) inject(ctx context.Context, f fault, duration time.Duration, random *rand.Rand) {
	component, detail, end := f.begin(s, random)
	if component == "" {
		return
	}
	recordEnd := s.ledger.BeginFault(time.Now(), ledger.Fault{Component: component, Planned: f.impact == planned, Reachable: f.impact == misbehaviour})
	s.log.Info("fault_injected", zap.String("fault", f.name), zap.String("part", component), zap.String("how", detail), zap.Duration("for", duration))
	sleep(ctx, duration)
	if end != nil {
		end()
	}
	recordEnd(time.Now())
}

// restartTime is how long the fault of a router that received SIGTERM or SIGKILL
// counts as active in the ledger, beyond the duration of the fault.
const restartTime = 5 * time.Second

// signalRouter sends SIGTERM or SIGKILL to a random router.
func (s *soak) signalRouter(random *rand.Rand, signal syscall.Signal) (component, detail string, end func()) {
	r := s.routers[random.IntN(len(s.routers))]
	s.sendSignal(r, signal)
	return r.id, signal.String(), func() { sleep(s.ctx, restartTime) }
}

// sendSignal sends a signal to the process of a router.
func (s *soak) sendSignal(r *router, signal syscall.Signal) {
	if err := r.signal(signal); err != nil {
		s.ledger.RecordViolation(time.Now(), "harness", "send signal to router %s: %v", r.id, err)
	}
}

// killRouters kills all routers at once.
func killRouters(s *soak, _ *rand.Rand) (component, detail string, end func()) {
	for _, r := range s.routers {
		s.sendSignal(r, syscall.SIGKILL)
	}
	return ledger.AllComponents, "kill", func() { sleep(s.ctx, restartTime) }
}

// pauseRouter stops the process of a random router with SIGSTOP, and continues it
// when the fault ends.
func pauseRouter(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.routers[random.IntN(len(s.routers))]
	s.sendSignal(r, syscall.SIGSTOP)
	return r.id, "stop", func() { s.sendSignal(r, syscall.SIGCONT) }
}

// replaceRunner starts a new runner of the same pool and zone as a random one, and
// then withdraws the old runner, which serves until stopDelay after the drain
// limit.
func (s *soak) replaceRunner(random *rand.Rand, withdraw func(*runner.Runner)) (component, detail string, end func()) {
	r := s.takeRunner(random)
	if r == nil {
		return "", "", nil
	}
	s.addRunner(r.Pool, r.Zone, 0)
	withdraw(r)
	time.AfterFunc(ledger.DrainLimit+stopDelay, r.Stop)
	return "plan", r.ID, nil
}

// switchPool moves the route /get/ to the other pool of applications.
func switchPool(s *soak, _ *rand.Rand) (component, detail string, end func()) {
	s.mu.Lock()
	if s.getRoutePool == "apps-a" {
		s.getRoutePool = "apps-b"
	} else {
		s.getRoutePool = "apps-a"
	}
	detail = s.getRoutePool
	s.mu.Unlock()
	s.writeConfig()
	return "plan", detail, nil
}

// extraEvacuationTime is how long a zone stays evacuated beyond the duration of the
// fault and the time in which its runners may still receive requests.
const extraEvacuationTime = 2 * time.Second

// evacuateZone takes a random zone out of service and returns it
// EvacuationLimit and extraEvacuationTime after the duration of the fault. It does
// nothing while a zone is already evacuated.
func evacuateZone(s *soak, random *rand.Rand) (component, detail string, end func()) {
	zone := zones[random.IntN(len(zones))]
	if !s.evacuating.CompareAndSwap(false, true) {
		return "", "", nil
	}
	s.store.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
	s.ledger.SetEvacuated(time.Now(), zone, true)
	return "plan", zone, func() {
		sleep(s.ctx, ledger.EvacuationLimit+extraEvacuationTime)
		s.ledger.SetEvacuated(time.Now(), zone, false)
		s.store.Put("keyed.op", "evacuate/"+zone, nil)
		s.evacuating.Store(false)
	}
}

// addedColdTime is how long an added engine is cold.
const addedColdTime = 3 * time.Second

// addColdEngine adds an engine to a random zone. The engine is cold for
// addedColdTime.
func addColdEngine(s *soak, random *rand.Rand) (component, detail string, end func()) {
	s.addRunner("engines", zones[random.IntN(len(zones))], addedColdTime)
	return "plan", "engine", nil
}

// crashRunner ends a random runner without notice, and starts a new one in its
// pool and zone when the fault ends.
func crashRunner(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.takeRunner(random)
	if r == nil {
		return "", "", nil
	}
	r.Crash()
	return r.ID, "crash", func() { s.addRunner(r.Pool, r.Zone, 0) }
}

// degradeRunner puts a random runner into a mode in which it fails a share of its
// requests.
func degradeRunner(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.pickRunner(random)
	mode := []runner.Mode{runner.Failing, runner.Dropping, runner.Hanging}[random.IntN(3)]
	r.SetMode(mode)
	return r.ID, mode.String(), func() { r.SetMode(runner.Healthy) }
}

// networkFaults holds the faults of a proxy. A seed chooses them by index.
var networkFaults = []proxy.Fault{proxy.Delay, proxy.Reset, proxy.Blocked, proxy.InboundBlocked, proxy.OutboundBlocked}

// faultRunnerNetwork injects a fault between the routers and a random runner.
func faultRunnerNetwork(s *soak, random *rand.Rand) (component, detail string, end func()) {
	r := s.pickRunner(random)
	f := networkFaults[random.IntN(len(networkFaults))]
	r.Proxy.SetFault(f)
	return r.ID, f.String(), func() { r.Proxy.SetFault(proxy.NoFault) }
}

// faultStoreNetwork injects a fault between all routers and the store.
func faultStoreNetwork(s *soak, random *rand.Rand) (component, detail string, end func()) {
	f := networkFaults[random.IntN(len(networkFaults))]
	s.storeProxy.SetFault(f)
	return ledger.StoreComponent, f.String(), func() { s.storeProxy.SetFault(proxy.NoFault) }
}

// faultStore makes the store fail.
func faultStore(s *soak, random *rand.Rand) (component, detail string, end func()) {
	f := []store.Fault{store.NoResponse, store.Unavailable, store.Slow, store.ResponseLost}[random.IntN(4)]
	s.store.SetFault(f)
	return ledger.StoreComponent, f.String(), func() { s.store.SetFault(store.NoFault) }
}
