package rollout

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/core"
)

// eachLine calls run with both sides of the arrow in each line of a file that has one.
func eachLine(t *testing.T, file string, run func(given, want string)) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for line := range strings.Lines(string(text)) {
		if given, want, ok := strings.Cut(strings.TrimSpace(line), " -> "); ok && !strings.HasPrefix(line, "#") {
			lines++
			run(given, want)
		}
	}
	if lines == 0 {
		t.Fatalf("%s: got no lines with an arrow, want some", file)
	}
}

func stageOf(t *testing.T, name string) Stage {
	t.Helper()
	i := slices.Index(stageNames[:], name)
	if i < 0 {
		t.Fatalf("unknown stage %q", name)
	}
	return Stage(i)
}

func parse[T any](t *testing.T, text string, by func(string) (T, error)) T {
	t.Helper()
	v, err := by(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestDecide guards against stages that begin too early or late, end wrongly, or never end, as
// each line of testdata/decide.txt states it.
func TestDecide(t *testing.T) {
	begun := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	eachLine(t, "testdata/decide.txt", func(given, want string) {
		words := strings.Fields(given)
		name, share, _ := strings.Cut(words[0], "=")
		s := State{Stage: stageOf(t, name), Sequence: 5, Order: Order{Target: "v2", Duration: parse(t, words[4], time.ParseDuration)}}
		p := Progress{Begun: begun, OldRunning: 1, NewUpstreams: 3, OldUpstreams: 3}
		v := Verdict{Reason: "figures"}
		if s.Stage == Settling || s.Stage == Completed {
			s.Share = 1
		}
		if share != "" {
			s.Share = parse(t, share, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
		}
		for _, word := range words[5:] {
			key, value, _ := strings.Cut(word, "=")
			switch key {
			case "enough":
				v.Enough = true
			case "doubt":
				v.Doubt = true
			case "bad":
				v.Bad = true
			case "invalid":
				s.Order.Invalid = "the service is unknown"
			case "new":
				p.NewUpstreams = parse(t, value, strconv.Atoi)
			case "old":
				p.OldUpstreams = parse(t, value, strconv.Atoi)
			case "running":
				p.OldRunning = parse(t, value, strconv.Atoi)
			case "drain":
				p.DrainTime = parse(t, value, time.ParseDuration)
			case "changed":
				s.ChangedMS = parse(t, value, time.ParseDuration).Milliseconds()
			default:
				t.Fatalf("unknown word %q", word)
			}
		}
		next := Decide(begun.Add(parse(t, words[2], time.ParseDuration)), s, v, p)
		if got := fmt.Sprintf("%s %g", next.Stage, next.Share); got != want {
			t.Errorf("%s: got %s, want %s", given, got, want)
		}
		if changed := next.Stage != s.Stage || next.Share != s.Share; changed != (next.Sequence > s.Sequence) || (changed && next.Reason == "") {
			t.Errorf("%s: got sequence %d and reason %q, want a later one than %d and a reason if there is a change", given, next.Sequence, next.Reason, s.Sequence)
		}
	})
}

func parseState(t *testing.T, text string) State {
	fields := strings.Split(text, "/")
	s := State{Stage: stageOf(t, fields[1]), Sequence: uint64(parse(t, fields[2], strconv.Atoi))}
	if _, err := fmt.Sscanf(fields[0], "%d.%d", &s.Order.Era, &s.Order.Offset); err != nil {
		t.Fatal(err)
	}
	if len(fields) > 3 {
		if s.Written = fields[3] == "written"; !s.Written {
			s.Share = parse(t, fields[3], func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
		}
	}
	return s
}

// TestMerge guards against routers that disagree on a roll-out for good, and against a bad
// release that goes on since another conductor is ahead.
func TestMerge(t *testing.T) {
	eachLine(t, "testdata/merge.txt", func(given, want string) {
		a, b, _ := strings.Cut(given, " ")
		x, y := parseState(t, a), parseState(t, b)
		if got := x.Merge(y); got != parseState(t, want) {
			t.Errorf("%s: got %+v, want %s", given, got, want)
		}
		if got := y.Merge(x); got != parseState(t, want) {
			t.Errorf("%s, the other way round: got %+v, want %s", given, got, want)
		}
	})
}

// TestExposure guards against routers that together send more to a new release than the bound,
// and against routes that take no part in the trial.
func TestExposure(t *testing.T) {
	l := Limits{Share: 0.1, Slack: 50}
	eachLine(t, "testdata/exposure.txt", func(given, want string) {
		var e Exposure
		words := strings.Fields(given)
		if words[0] == "grant" {
			e.Grant(l, parse(t, words[1], strconv.Atoi), parse(t, words[2], strconv.Atoi))
			words = words[3:]
		}
		taken := map[string]int{}
		for _, word := range words {
			route, count, _ := strings.Cut(word, "=")
			for range parse(t, count, strconv.Atoi) {
				taken[route] += number(e.Take(l, route))
			}
		}
		var got []string
		for _, route := range slices.Sorted(maps.Keys(taken)) {
			got = append(got, fmt.Sprintf("%s=%d", route, taken[route]))
		}
		if text := strings.Join(got, " "); text != want {
			t.Errorf("%s: got %s, want %s", given, text, want)
		}
	})
}

// TestGrantsKeepToSlack guards against several hundred routers that use up the slack before the
// conductor has heard of a bad answer.
func TestGrantsKeepToSlack(t *testing.T) {
	l := Limits{Share: 0.1, Slack: 50}
	for _, routers := range []int{1, 3, 24, 117, 388, 1000} {
		fleet := make([]Exposure, routers)
		requests, taken := 0, 0
		for i := range fleet {
			fleet[i].Grant(l, routers, i)
		}
		for range 30 {
			for i := range fleet {
				requests++
				taken += number(fleet[i].Take(l, "r"))
				if most := l.Share*float64(requests) + l.Slack; float64(taken) > most {
					t.Fatalf("%d routers, %d requests: got %d to the new release, want at most %g", routers, requests, taken, most)
				}
			}
		}
	}
}

// TestTrialIsBounded guards against a conductor that runs out of memory: however many samples
// come, with however many names, it keeps a bounded number.
func TestTrialIsBounded(t *testing.T) {
	var trial Trial
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	for i := range 200 {
		now = now.Add(slotTime)
		batch := make([]Sample, 3*maxKept)
		for j := range batch {
			name := strconv.Itoa(i*len(batch) + j)
			batch[j] = Sample{Route: name, Upstream: core.UpstreamID(name), New: j%2 == 0, At: now}
		}
		trial.Add(now, core.RouterID(strconv.Itoa(i)), batch)
	}
	if got := len(trial.slots); got != maxSlots {
		t.Errorf("slots: got %d, want %d", got, maxSlots)
	}
	for _, s := range trial.slots {
		if got := max(len(s.old.kept), len(s.new.kept)); got > maxKept {
			t.Errorf("samples of a slot: got %d, want at most %d", got, maxKept)
		}
	}
	if got := max(len(trial.routes), len(trial.upstreams)); got > maxNames {
		t.Errorf("names: got %d, want at most %d", got, maxNames)
	}
}

// TestRepeatedSamplesDropped guards against a verdict that counts an answer twice, since a router
// sends its last samples to each new conductor.
func TestRepeatedSamplesDropped(t *testing.T) {
	var trial Trial
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	batch := []Sample{{New: true, Failed: true, At: now}, {New: true, Failed: true, At: now.Add(100 * time.Millisecond)}}
	for range 3 {
		trial.Add(now, "a", batch)
	}
	trial.Add(now, "b", batch)
	if got := trial.Verdict(now).NewAnswers; got != 4 {
		t.Errorf("answers: got %d, want 4", got)
	}
}
