package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorpulley.org/core"
)

// trouble is what a release or the old upstreams suffer from. Portions are of the answers.
type trouble struct {
	fail, slow, factor float64
	hang               float64 // these fail after hangTime
	from               time.Duration
	route              int     // only on this route, counted from one; zero means on all
	load               float64 // only at upstreams with more than this multiple of the mean rate
}

// rollOut is a roll-out in simulated time by a fleet of routers without a network.
type rollOut struct {
	routers, old      int
	rate              float64 // requests per second of all routers
	duration          time.Duration
	version           trouble
	hour              string        // what troubles all upstreams: calm, slow-hosts, ...
	takeover          time.Duration // when another conductor begins without samples
	cut               float64       // the fraction of routers that are cut off from 4 s to 8 s
	restart           float64       // the fraction of routers that restart at 5 s
	stream            time.Duration // the longest stream
	random            *rand.Rand
	limits            Limits
	now               time.Time
	state             State
	states            []State // what the routers have heard, by tick
	trial             Trial
	all               [2][]core.UpstreamID
	fleet             []simulatedRouter
	answers           map[int][]answer
	busy              map[core.UpstreamID]int
	running           int // requests at old upstreams
	requests, exposed int
	badAnswers        int
	badAt             int // the tick of the 50th bad answer
	lastNew           int // the tick of the last request to the new release before the end
	lateRequests      int // those sent to the new release 5 s after that answer
}

type simulatedRouter struct {
	exposure Exposure
	buffer   []Sample
	lag      int
}

type answer struct {
	router int
	sample Sample
	old    bool
	end    bool
}

const (
	tick           = 50 * time.Millisecond
	perSecond      = int(time.Second / tick)
	simulatedRoute = 6
	// hangTime is the time limit of a request.
	hangTime = 4 * time.Second
)

var simulationStart = time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)

func (s *rollOut) begin(seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 7))
	s.limits = Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second}
	s.answers, s.busy = map[int][]answer{}, map[core.UpstreamID]int{}
	for i := range s.old {
		s.all[0] = append(s.all[0], core.UpstreamID(fmt.Sprintf("old-%d", i)))
		s.all[1] = append(s.all[1], core.UpstreamID(fmt.Sprintf("new-%d-%d", seed, i)))
	}
	s.state.Order = Order{Pool: "p", Target: "v2", Duration: s.duration, Offset: seed}
	s.fleet = make([]simulatedRouter, s.routers)
	for i := range s.fleet {
		s.fleet[i].exposure.Grant(s.limits, s.routers, i)
		s.fleet[i].lag = 1 + s.random.IntN(10)
	}
}

// run returns the final state. It goes on for a while after a roll-back.
func (s *rollOut) run(seed uint64) State {
	s.begin(seed)
	for i := 0; i < int(s.duration/tick); i++ {
		s.now = simulationStart.Add(time.Duration(i) * tick)
		if i%perSecond == 0 {
			clear(s.busy)
		}
		if at := time.Duration(i) * tick; s.takeover > 0 && at == s.takeover {
			s.trial = Trial{}
		}
		if i == 5*perSecond {
			for r := range s.fleet[:int(s.restart*float64(s.routers))] {
				s.fleet[r].exposure, s.fleet[r].buffer = Exposure{}, nil
			}
		}
		s.deliver(i)
		if i%(perSecond/4) == 0 && !s.state.Stage.Final() {
			p := Progress{Begun: simulationStart, OldRunning: s.running, DrainTime: s.stream, NewUpstreams: s.old, OldUpstreams: s.old}
			s.state = Decide(s.now, s.state, s.trial.Verdict(s.now), p)
		}
		s.states = append(s.states, s.state)
		for range s.arrivals(i) {
			s.request(i)
		}
	}
	return s.state
}

// arrivals draws the requests of a tick, by a normal approximation of their number.
func (s *rollOut) arrivals(i int) int {
	mean := s.rate * tick.Seconds()
	if s.hour == "burst" && i/perSecond%6 < 2 {
		mean *= 2.5
	}
	if mean < 5 {
		n := 0
		for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
			n++
		}
		return n
	}
	return max(int(mean+math.Sqrt(mean)*s.random.NormFloat64()+0.5), 0)
}

func (s *rollOut) request(i int) {
	s.requests++
	n := s.random.IntN(s.routers)
	r := &s.fleet[n]
	fresh := i >= r.lag && (n >= int(s.cut*float64(s.routers)) || i < 6*perSecond || i > 8*perSecond)
	route := min(int(s.random.ExpFloat64()*1.3), simulatedRoute-1)
	state := s.states[max(i-r.lag, 0)]
	toNew := r.exposure.Admit(s.limits, state, fresh, fmt.Sprint(route))
	candidates := s.all[number(toNew)]
	if toNew {
		s.exposed++
		s.lastNew = i
		if state.Stage == Trying {
			candidates = TrialUpstreams(state.Order, candidates, s.old, s.limits.Share)
			candidates = Turn(candidates, time.Duration(i)*tick, s.old, s.limits.Share)
		}
		if s.badAt > 0 && i > s.badAt+5*perSecond {
			s.lateRequests++
		}
	} else {
		s.running++
	}
	k := s.random.IntN(len(candidates))
	id := candidates[k]
	s.busy[id]++
	failed, took, bad := s.outcome(i, route, id, k, toNew)
	end := i + max(int(took/tick), 1)
	sample := Sample{Route: fmt.Sprint(route), Size: s.random.IntN(3), Upstream: id, DataCentre: centreOf(k), New: toNew, Failed: failed, FirstByte: took, At: simulationStart.Add(time.Duration(end) * tick)}
	sample.FirstByte *= time.Duration(1 + sample.Size)
	s.answers[end] = append(s.answers[end], answer{router: n, sample: sample})
	if bad {
		s.badAnswers++
		if s.badAnswers == 50 {
			s.badAt = end
		}
	}
	if !toNew {
		if s.random.Float64() < 0.1 {
			end += int(s.random.Float64() * float64(s.stream/tick))
		}
		s.answers[end] = append(s.answers[end], answer{old: true, end: true})
	}
}

func centreOf(k int) core.DataCentre { return core.DataCentre(fmt.Sprintf("dc-%d", k%4)) }

// deliver hands the answers of a tick to the routers, and their samples to the conductor.
func (s *rollOut) deliver(i int) {
	for _, a := range s.answers[i] {
		if a.end {
			s.running--
			continue
		}
		r := &s.fleet[a.router]
		r.buffer = append(r.buffer, a.sample)
	}
	delete(s.answers, i)
	for n := range s.fleet {
		r := &s.fleet[n]
		late := 0
		if n%20 == 0 {
			late = 3 * perSecond / 2
		}
		if (i+n)%(perSecond/2+late) == 0 && len(r.buffer) > 0 {
			s.trial.Add(s.now, core.RouterID(fmt.Sprint(n)), r.buffer)
			r.buffer = nil
		}
	}
}

// outcome draws whether an answer fails and how long it takes to the first byte, and whether the
// release is the reason for it to be bad.
func (s *rollOut) outcome(i, route int, id core.UpstreamID, k int, isNew bool) (failed bool, took time.Duration, bad bool) {
	seconds := 0.08 * float64(1+route%3) * math.Exp(0.35*s.random.NormFloat64())
	portion := 0.004 // of answers fail at any time
	// What a host suffers from depends on its name and the time, and is alike for both releases.
	host := func(span int, salt string) float64 {
		h := rand.New(rand.NewPCG(xxhash.Sum64String(string(id)+salt), uint64(i*int(tick)/span)))
		return h.Float64()
	}
	switch s.hour {
	case "slow-hosts":
		if host(int(600*time.Millisecond), "slow") < 0.15 {
			seconds *= 2.5
		}
	case "slow-centre":
		if k%4 == 1 && i > 3*perSecond {
			seconds *= 4
		}
	case "failing-centre":
		if k%4 == 2 && i/perSecond%8 >= 3 {
			portion = 0.5
		}
	case "failing-hosts":
		if host(int(3*time.Second), "fail") < 0.06 {
			portion = 0.6
		}
	case "bad-route":
		if route == 1 {
			portion = 0.3
		}
	case "one-bad":
		if isNew && id == TrialUpstreams(s.state.Order, s.all[1], s.old, s.limits.Share)[0] {
			portion = 0.8
		}
	case "wide-times":
		seconds = 0.08 * float64(1+route%3) * s.random.ExpFloat64()
	case "burst":
		if i/perSecond%6 < 2 {
			seconds *= 1 + s.random.Float64()*3
			portion = 0.05
		}
	}
	failed = s.random.Float64() < portion
	if v := s.version; isNew && time.Duration(i)*tick >= v.from && (v.route == 0 || v.route == route+1) &&
		(v.load == 0 || float64(s.busy[id]) > v.load*s.rate/float64(s.old)) {
		if s.random.Float64() < v.fail {
			failed, bad = true, true
		}
		if v.hang > 0 && s.random.Float64() < v.hang {
			return true, hangTime, true
		}
		if s.random.Float64() < v.slow {
			seconds, bad = seconds*v.factor, true
		}
	}
	return failed, time.Duration(seconds * float64(time.Second)), bad
}
