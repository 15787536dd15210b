package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
)

type stateKey struct{}

var start = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// state is the dispatcher and the clock of a script.
type state struct {
	d         Dispatcher
	now       time.Time
	upstreams []Upstream
	limits    Limits
	// decisions holds the last decision by request, refused how many were refused.
	decisions map[string]Decision
}

// TestScripts runs the scripts in testdata. The first lines of each name the load that it
// answers.
func TestScripts(t *testing.T) {
	verbs := map[string]func(*testscript.TestScript, *state, []string){
		"upstream": cmdUpstream, "leave": cmdLeave, "limits": cmdLimits, "ask": cmdAsk, "return": cmdReturn, "advance": cmdAdvance,
		"granted": cmdGranted, "queued": cmdQueued, "refused": cmdRefused, "taken": cmdTaken, "restart": cmdRestart, "serve": cmdServe,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range verbs {
		wrapped[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			s, ok := ts.Value(stateKey{}).(*state)
			if !ok {
				ts.Fatalf("no state")
			}
			run(ts, s, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &state{now: start, decisions: map[string]Decision{}, limits: Limits{Share: 1, LoadFactor: 2}}
			return nil
		},
		Cmds: wrapped,
	})
}

func option(args []string, key string) string {
	for _, a := range args {
		if name, value, _ := strings.Cut(a, "="); name == key {
			return value
		}
	}
	return ""
}

func number(ts *testscript.TestScript, args []string, key string) int {
	n, err := strconv.Atoi("0" + option(args, key))
	ts.Check(err)
	return n
}

func parse(ts *testscript.TestScript, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func (s *state) update() { s.d.Update(s.now, s.limits, s.upstreams) }

func (s *state) apply(all []Decision) {
	for _, decision := range all {
		s.decisions[strconv.FormatUint(decision.Number, 10)] = decision
	}
}

// upstream ID SLOTS [dc=DC] [running=N] [cold]: an upstream that may get work.
func cmdUpstream(ts *testscript.TestScript, s *state, a []string) {
	slots, err := strconv.Atoi(a[1])
	ts.Check(err)
	s.upstreams = append(s.upstreams, Upstream{
		ID: core.UpstreamID(a[0]), Slots: slots, DataCentre: core.DataCentre(option(a, "dc")), Running: number(ts, a, "running"), Cold: slices.Contains(a, "cold"),
	})
	s.update()
}

// leave ID: an upstream may no longer get work.
func cmdLeave(_ *testscript.TestScript, s *state, a []string) {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u Upstream) bool { return string(u.ID) == a[0] })
	s.update()
}

// limits [share=PERCENT] [cold=RATE]: sets the limits.
func cmdLimits(ts *testscript.TestScript, s *state, a []string) {
	s.limits.Share, s.limits.ColdRate = float64(number(ts, a, "share"))/100, float64(number(ts, a, "cold"))
	s.update()
}

// ask FIRST [count=N] [rank=N] [account=A] [dc=DC] [objective=D] [deadline=D] [not=ID,...] [runs=N]:
// requests with ascending numbers ask for a slot.
func cmdAsk(ts *testscript.TestScript, s *state, a []string) {
	first, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	s.update()
	for i := range max(number(ts, a, "count"), 1) {
		r := Request{
			Key: Key{Router: "r", Number: first + uint64(i)}, Rank: number(ts, a, "rank"), Account: core.Account(option(a, "account")),
			DataCentre: core.DataCentre(option(a, "dc")), Deadline: s.now.Add(10 * time.Second), Runs: number(ts, a, "runs"),
		}
		if text := option(a, "objective"); text != "" {
			r.Objective = s.now.Add(parse(ts, text))
		}
		if text := option(a, "deadline"); text != "" {
			r.Deadline = s.now.Add(parse(ts, text))
		}
		for _, id := range strings.Split(option(a, "not"), ",") {
			r.Excluded = append(r.Excluded, core.UpstreamID(id))
		}
		all := s.d.Ask(s.now, r)
		if len(all) == 0 || all[len(all)-1].Key != r.Key {
			ts.Fatalf("ask %d: got decisions %v, want one on it at the end", r.Number, all)
		}
		s.apply(all)
	}
}

// return NUMBER... [ran=D] [answered|rejected|unreached|lost|unused]: slots end.
func cmdReturn(ts *testscript.TestScript, s *state, a []string) {
	outcomes := map[string]Outcome{"answered": Answered, "rejected": Rejected, "unreached": Unreached, "lost": Lost, "unused": Unused}
	outcome := Answered
	for _, word := range a {
		if o, ok := outcomes[word]; ok {
			outcome = o
		}
	}
	for _, word := range a {
		if n, err := strconv.ParseUint(word, 10, 64); err == nil {
			s.apply(s.d.Return(s.now, Key{Router: "r", Number: n}, outcome, parse(ts, option(a, "ran"))))
		}
	}
}

// advance D: advances the clock in steps of 1 ms.
func cmdAdvance(ts *testscript.TestScript, s *state, a []string) {
	for end := s.now.Add(parse(ts, a[0])); s.now.Before(end); {
		s.now = s.now.Add(time.Millisecond)
		s.apply(s.d.Expire(s.now))
	}
}

func (s *state) want(ts *testscript.TestScript, name string, kind Kind) Decision {
	got := s.decisions[name]
	if got.Kind != kind {
		ts.Fatalf("request %s: got %+v, want kind %d", name, got, kind)
	}
	return got
}

// granted NUMBER [ID...]: checks that a request has a slot, at one of the upstreams.
func cmdGranted(ts *testscript.TestScript, s *state, a []string) {
	got := s.want(ts, a[0], Granted)
	if len(a) > 1 && !slices.Contains(a[1:], string(got.Upstream)) {
		ts.Fatalf("request %s: got %s, want one of %v", a[0], got.Upstream, a[1:])
	}
}

// queued NUMBER...: checks that requests wait.
func cmdQueued(ts *testscript.TestScript, s *state, a []string) {
	for _, name := range a {
		s.want(ts, name, Queued)
	}
}

// refused NUMBER [LEAST MOST]: checks that a request was refused, and when its caller may return.
func cmdRefused(ts *testscript.TestScript, s *state, a []string) {
	got := s.want(ts, a[0], Refused)
	if len(a) > 1 && (got.After < parse(ts, a[1]) || got.After > parse(ts, a[2])) {
		ts.Fatalf("request %s: got a return after %s, want %s to %s", a[0], got.After, a[1], a[2])
	}
}

// taken ID LEAST MOST: checks how many requests an upstream has.
func cmdTaken(ts *testscript.TestScript, s *state, a []string) {
	for _, h := range s.d.hosts {
		if string(h.ID) != a[0] {
			continue
		}
		if text := fmt.Sprint(len(h.starts)); !between(ts, len(h.starts), a[1], a[2]) {
			ts.Fatalf("taken at %s: got %s, want %s to %s", a[0], text, a[1], a[2])
		}
	}
}

func between(ts *testscript.TestScript, n int, least, most string) bool {
	low, err := strconv.Atoi(least)
	ts.Check(err)
	high, err := strconv.Atoi(most)
	ts.Check(err)
	return n >= low && n <= high
}

// restart: another router takes over, which knows what the routers count.
func cmdRestart(_ *testscript.TestScript, s *state, _ []string) {
	for i, u := range s.upstreams {
		for _, h := range s.d.hosts {
			if h.ID == u.ID {
				s.upstreams[i].Running = len(h.starts)
			}
		}
	}
	s.d = Dispatcher{}
	s.update()
}

// serve FIRST COUNT GAP ID=RUN...: requests arrive with a gap, and end after the run time of their
// upstream, 30 ms where none is stated.
func cmdServe(ts *testscript.TestScript, s *state, a []string) {
	first, err := strconv.Atoi(a[0])
	ts.Check(err)
	count, err := strconv.Atoi(a[1])
	ts.Check(err)
	gap := parse(ts, a[2])
	ends := map[int]time.Time{}
	next := s.now
	for n, steps := first, 0; (n < first+count || len(ends) > 0) && steps < 100000; steps++ {
		for ; n < first+count && !s.now.Before(next); n, next = n+1, next.Add(gap) {
			cmdAsk(ts, s, append([]string{strconv.Itoa(n), "objective=150ms"}, a[3:]...))
			ends[n] = time.Time{}
		}
		for name, end := range ends {
			decision := s.decisions[strconv.Itoa(name)]
			run := max(parse(ts, option(a, string(decision.Upstream))), 0)
			if run == 0 {
				run = 30 * time.Millisecond
			}
			switch {
			case decision.Kind == Refused:
				delete(ends, name)
			case decision.Kind == Granted && end.IsZero():
				ends[name] = s.now.Add(run)
			case decision.Kind == Granted && !s.now.Before(end):
				delete(ends, name)
				s.apply(s.d.Return(s.now, decision.Key, Answered, run))
			}
		}
		s.now = s.now.Add(time.Millisecond)
		s.apply(s.d.Expire(s.now))
	}
}
