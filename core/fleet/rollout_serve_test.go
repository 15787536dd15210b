package fleet_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
)

const (
	// serveStep is the time between two steps of the verb serve. The routers carry the
	// roll-outs on every tickSteps, and send heartbeats every serveBeatSteps.
	serveStep      = 10 * time.Millisecond
	tickSteps      = 10
	serveBeatSteps = 50
)

// serving is a request of the verb serve that an upstream runs.
type serving struct {
	request *sentRequest
	doneAt  time.Time
	outcome health.Outcome
}

// traits are how a release answers: the share of its answers that are failures, and by how
// many times it takes longer.
type traits struct{ failing, slow float64 }

// serve DURATION ROUTE [rate=N] [time=D] [failing=RELEASE:SHARE] [slow=RELEASE:FACTOR] ROUTER...:
// the routers, which are named or those that aren't frozen, get requests at random times, and a
// request that fails is tried again once. All routers do their periodic work.
func cmdServe(ts *testscript.TestScript, sim *simulation, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	rate, mean := number(ts, a, "rate"), duration(ts, a, "time")
	if rate == 0 {
		rate = 100
	}
	if mean == 0 {
		mean = 30 * time.Millisecond
	}
	bad := releaseTraits(ts, a)
	var routers []string
	for _, id := range a[2:] {
		if !strings.Contains(id, "=") {
			routers = append(routers, id)
		}
	}
	if len(routers) == 0 {
		routers = slices.DeleteFunc(slices.Clone(sim.order), func(id string) bool { return sim.frozen[id] })
	}
	random := rand.New(rand.NewPCG(1, uint64(sim.now.UnixNano())))
	var running []serving
	step := 0
	for end := sim.now.Add(d); sim.now.Before(end); step++ {
		sim.now = sim.now.Add(serveStep)
		for due := random.Float64() + float64(rate)*serveStep.Seconds(); due >= 1; due-- {
			s := sim.serveOne(routers[random.IntN(len(routers))], a[1], random)
			if s.refusal == nil {
				running = append(running, sim.startServing(s, mean, bad, random))
			}
		}
		running = sim.finishServing(running, mean, bad, random)
		if step%tickSteps == 0 {
			sim.tickRollouts()
		}
		if step%serveBeatSteps == 0 {
			sim.sendHeartbeats()
		}
	}
	for _, s := range running {
		s.request.router.FinishAttempt(sim.now, s.request.target, health.Unknown, nil)
	}
}

func releaseTraits(ts *testscript.TestScript, a []string) map[string]traits {
	bad := map[string]traits{}
	for _, key := range []string{"failing", "slow"} {
		text, ok := option(a, key)
		if !ok {
			continue
		}
		release, value, _ := strings.Cut(text, ":")
		x, err := strconv.ParseFloat(value, 64)
		ts.Check(err)
		t := bad[release]
		if key == "failing" {
			t.failing = x
		} else {
			t.slow = x
		}
		bad[release] = t
	}
	return bad
}

// serveOne sends a request to a router.
func (sim *simulation) serveOne(router, route string, random *rand.Rand) *sentRequest {
	s := &sentRequest{router: sim.routers[router]}
	s.request, s.refusal = s.router.Admit(sim.now, fleet.CallerRequest{ID: strconv.FormatUint(random.Uint64(), 36), Host: route, Path: "/"})
	if s.refusal == nil {
		sim.rollout.all++
		sim.choose(s)
	}
	return s
}

// startServing lets the chosen upstream run a request.
func (sim *simulation) startServing(s *sentRequest, mean time.Duration, bad map[string]traits, random *rand.Rand) serving {
	st := &sim.rollout
	if st.sent == nil {
		st.sent, st.lastSent = map[string]int{}, map[string]time.Time{}
	}
	release := s.target.Release
	st.sent[release]++
	st.lastSent[release] = sim.now
	run := time.Duration((0.5 + random.Float64()) * float64(mean))
	if t := bad[release]; t.slow > 0 {
		run = time.Duration(float64(run) * t.slow)
	}
	outcome := health.Good
	if random.Float64() < bad[release].failing {
		outcome = health.Failed
	}
	return serving{s, sim.now.Add(run), outcome}
}

// finishServing ends the requests that are done. One that has failed is tried again once.
func (sim *simulation) finishServing(running []serving, mean time.Duration, bad map[string]traits, random *rand.Rand) []serving {
	var left []serving
	for _, s := range running {
		if s.doneAt.After(sim.now) {
			left = append(left, s)
			continue
		}
		s.request.target.Rollout.MarkFirstByte(s.doneAt)
		s.request.router.FinishAttempt(sim.now, s.request.target, s.outcome, nil)
		if s.outcome != health.Failed || len(s.request.tried) > 0 {
			continue
		}
		s.request.tried = append(s.request.tried, s.request.target.ID)
		if sim.choose(s.request); s.request.refusal == nil {
			left = append(left, sim.startServing(s.request, mean, bad, random))
		}
	}
	return left
}
