package locality

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestScripts runs the scripts in testdata. Verbs:
//
//   - place NAME key=value...: adds a data centre, or changes what is given of it; a place named
//     here is the own one
//   - requests COUNT OBJECTIVE NAME=LEAST-MOST... [why=REASON]: chooses for as many requests, each
//     with draws of its own, and checks how many go where; none stands for no place
//   - wait NAME LEAST MOST, cost NAME LEAST MOST: check an estimate
//   - connect AT TOOK, delay DEFAULT WANT: measure a delay, and check it
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata: got %d scripts and error %v, want at least one and no error", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t, random: rand.New(rand.NewPCG(1, 0))}
			for i, line := range strings.Split(string(text), "\n") {
				s.where = fmt.Sprintf("line %d", i+1)
				if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
					s.step(fields[0], fields[1:])
				}
			}
		})
	}
}

type script struct {
	t      *testing.T
	where  string
	names  []string
	places []Place
	delay  Delay
	random *rand.Rand
}

func (s *script) step(verb string, args []string) {
	switch verb {
	case "place":
		s.change(s.find(args[0], true), args[1:])
	case "requests":
		s.requests(args)
	case "wait":
		s.between(args, s.places[s.find(args[0], false)].Wait())
	case "cost":
		s.between(args, s.places[s.find(args[0], false)].Cost())
	case "connect":
		s.delay.Record(time.Unix(100, 0).Add(s.duration(args[0])), s.duration(args[1]))
	case "delay":
		if got := s.delay.OneWay(s.duration(args[0])); got != s.duration(args[1]) {
			s.t.Errorf("%s: got %s, want %s", s.where, got, args[1])
		}
	default:
		s.t.Fatalf("%s: got verb %s, want a known one", s.where, verb)
	}
}

// find returns the index of a place, which it adds if it may.
func (s *script) find(name string, add bool) int {
	for i, n := range s.names {
		if n == name {
			return i
		}
	}
	if !add {
		s.t.Fatalf("%s: got no place %s, want one", s.where, name)
	}
	s.names = append(s.names, name)
	s.places = append(s.places, Place{Local: name == "here", Connected: true, Steady: time.Minute, Link: Link{Delay: 5 * time.Millisecond}})
	return len(s.names) - 1
}

// change sets what the arguments give.
func (s *script) change(i int, args []string) {
	p := &s.places[i]
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "slots":
			p.Slots = int(s.number(value))
		case "upstreams":
			p.Upstreams = int(s.number(value))
		case "load":
			p.Load = s.number(value)
		case "crowding":
			p.Crowding = s.number(value)
		case "run":
			p.RunTime = s.duration(value)
		case "work":
			p.Work = s.duration(value)
		case "bytes":
			p.Bytes = int(s.number(value))
		case "delay":
			p.Link.Delay = s.duration(value)
		case "price":
			p.Link.Price = s.number(value)
		case "silence":
			p.Silence = s.duration(value)
		case "steady":
			p.Steady = s.duration(value)
		case "full":
			p.Full = value == "yes"
		case "connected":
			p.Connected = value == "yes"
		default:
			s.t.Fatalf("%s: got key %s, want a known one", s.where, key)
		}
	}
}

func (s *script) requests(args []string) {
	count, objective := int(s.number(args[0])), s.duration(args[1])
	got, why := map[string]int{}, map[Reason]bool{}
	for range count {
		i, reason := Choose(objective, s.places, Draws{Leave: s.random.Float64(), Place: s.random.Float64(), Back: s.random.Float64()})
		name := "none"
		if i >= 0 {
			name = s.names[i]
		}
		got[name]++
		if reason != Here {
			why[reason] = true
		}
	}
	for _, a := range args[2:] {
		name, want, _ := strings.Cut(a, "=")
		if name == "why" {
			if len(why) != 1 || !why[Reason(want)] {
				s.t.Errorf("%s: reasons: got %v, want %s", s.where, why, want)
			}
			continue
		}
		least, most, _ := strings.Cut(want, "-")
		if n := float64(got[name]); n < s.number(least) || n > s.number(most) {
			s.t.Errorf("%s: requests at %s: got %v, want %s", s.where, name, got, want)
		}
	}
}

func (s *script) between(args []string, got time.Duration) {
	if got < s.duration(args[1]) || got > s.duration(args[2]) {
		s.t.Errorf("%s: got %s, want %s to %s", s.where, got, args[1], args[2])
	}
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return d
}

func (s *script) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return n
}
